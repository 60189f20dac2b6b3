/** Client of the platform's list of VMs, which lags behind the actual state. */
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as z from "zod";

const vmSchema = z.object({
  id: z.string().min(1),
  role: z.enum(["entry", "upstream"]),
  dataCentre: z.string(),
  /** `host:port` of the mesh listener; only upstream processes have one. */
  meshAddress: z.string().optional(),
  adminAddress: z.string(),
  state: z.enum(["live", "leaving"]),
}).readonly();
const listSchema = z.object({ vms: z.array(vmSchema).readonly() });

export type Vm = z.infer<typeof vmSchema>;

const REQUEST_TIMEOUT_MS = 1_000;

export interface VmListClient {
  read(): Promise<kernel.Outcome<readonly Vm[]>>;
  close(): Promise<void>;
}

export class HttpVmListClient implements VmListClient {
  readonly #client: undici.Pool;

  constructor(url: string) {
    this.#client = new undici.Pool(url, { connections: 1 });
  }

  async read(): Promise<kernel.Outcome<readonly Vm[]>> {
    try {
      const response = await this.#client.request({
        method: "GET",
        path: "/vms",
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const parsed = listSchema.safeParse(await response.body.json());
      if (parsed.success) return neverthrow.ok(parsed.data.vms);
      return kernel.fail(
        "store-nonsense",
        "the reply of the VM list does not have the expected form",
      );
    } catch (thrown) {
      return kernel.fail(
        "store-unavailable",
        `VM list: ${kernel.describeThrown(thrown)}`,
      );
    }
  }

  async close(): Promise<void> {
    await this.#client.destroy();
  }
}
