/** Client of the platform's list of VMs, which lags behind the actual state. */
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as z from "zod";

/** Text of the form HOST:PORT that can be connected to. */
const addressSchema = z.string().refine(
  (text) => /^[\w.-]+:[1-9]\d*$/.test(text) && URL.canParse(`http://${text}/`),
  { message: "must be HOST:PORT" },
);

const vmSchema = z.object({
  id: z.string().min(1),
  role: z.enum(["entry", "upstream"]),
  dataCentre: z.string(),
  /** Address of the mesh listener; only upstream processes have one. */
  meshAddress: addressSchema.optional(),
  adminAddress: addressSchema,
  state: z.enum(["live", "leaving"]),
}).readonly();
const listSchema = z.object({ vms: z.array(z.unknown()).readonly() });

export type Vm = z.infer<typeof vmSchema>;

const REQUEST_TIMEOUT_MS = 1_000;
/** Longest answer; one with more is taken for endless. */
const MAX_ANSWER_BYTES = 16 * 1_048_576;

function decodeVms(entries: readonly unknown[]): readonly Vm[] {
  return entries.flatMap((entry) => {
    const parsed = vmSchema.safeParse(entry);
    return parsed.success ? [parsed.data] : [];
  });
}

export interface VmListClient {
  /** Lists the VMs; entries in another form name none and are left out. */
  read(): Promise<kernel.Outcome<readonly Vm[]>>;
  close(): Promise<void>;
}

export class HttpVmListClient implements VmListClient {
  readonly #client: undici.Pool;

  constructor(url: string) {
    this.#client = new undici.Pool(url, {
      connections: 1,
      connect: kernel.boundAnswers(
        undici.buildConnector({}),
        MAX_ANSWER_BYTES,
      ),
    });
  }

  async read(): Promise<kernel.Outcome<readonly Vm[]>> {
    try {
      const response = await this.#client.request({
        method: "GET",
        path: "/vms",
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const parsed = listSchema.safeParse(await response.body.json());
      if (parsed.success) return neverthrow.ok(decodeVms(parsed.data.vms));
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
