/** Runs one stand-in as a process; its first line of output is a JSON object with its ports. */
import * as commander from "commander";
import * as engines from "./engine.ts";
import * as orders from "./order_service.ts";
import * as vmLists from "./vm_list.ts";
import * as stores from "./etcd_store.ts";

function printPorts(ports: Readonly<Record<string, number>>): void {
  process.stdout.write(`${JSON.stringify({ isReady: true, ...ports })}\n`);
}

const program = new commander.Command("jackdaw-fakes");

program.command("store").action(async () => {
  const store = await stores.startEtcdStore();
  printPorts({ port: store.first.port, secondPort: store.second.port });
});

program.command("engine")
  .requiredOption("--settings <json>")
  .action(async (options: { settings: string }) => {
    const settings = JSON.parse(options.settings) as Partial<
      engines.EngineSettings
    >;
    printPorts({ port: (await engines.startEngine(settings)).port });
  });

program.command("orders")
  .requiredOption("--settings <json>")
  .action(async (options: { settings: string }) => {
    const settings = JSON.parse(options.settings) as Partial<
      orders.OrderSettings
    >;
    printPorts({ port: (await orders.startOrderService(settings)).port });
  });

program.command("platform")
  .option("--lag-ms <number>", "lag of the VM list in milliseconds", "200")
  .action(async (options: { lagMs: string }) => {
    printPorts({
      port: (await vmLists.startVmList({ lagMs: Number(options.lagMs) })).port,
    });
  });

await program.parseAsync();
