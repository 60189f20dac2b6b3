/**
 * Runs an entry on the users' platform: settings come from the platform's file,
 * and durable state is kept in the platform's store.
 */
import * as kernel from "@jackdawbank/kernel";
import * as platform from "@jackdawbank/platform";
import * as router from "@jackdawbank/router";
import * as neverthrow from "neverthrow";

/** The settings file is polled, because it may change without a SIGHUP. */
const SETTINGS_POLL_MS = 2_000;
const EXIT_FAILURE = 1;
const EXIT_BAD_SETTINGS = 2;
const METRICS_PATTERN = /^(\d{1,5})(\/\S*)$/;

export interface PlatformEntryOptions {
  /** Port and path where metrics are served, as PORT/PATH. */
  readonly metrics?: string;
}

function parseMetrics(
  text: string | undefined,
): kernel.Outcome<router.RouterOptions["metrics"] | undefined> {
  if (text === undefined) return neverthrow.ok(undefined);
  const match = METRICS_PATTERN.exec(text);
  if (match === null) {
    return kernel.fail("settings-invalid", "--metrics must be PORT/PATH");
  }
  return neverthrow.ok({
    port: Number(match[1]),
    path: match[2] as string,
  });
}

/** Prints an error and sets the exit code. */
function report(message: string, exitCode: number): void {
  process.stderr.write(`jackdawd: ${message}\n`);
  process.exitCode = exitCode;
}

/** Reloads the settings file when it changes and on SIGHUP; only a new address of the store takes effect. */
function watchSettings(
  store: platform.PlatformStore,
  log: router.DecisionLog,
): void {
  let currentText = platform.readSettingsText(process.env).unwrapOr("");
  const reload = (cause: string) => {
    const text = platform.readSettingsText(process.env);
    if (text.isErr()) {
      log.addNotable("settings.unreadable", {
        cause,
        reason: text.error.message,
      });
      return;
    }
    if (text.value === currentText && cause !== "SIGHUP") return;
    currentText = text.value;
    const settings = platform.parseSettings(text.value);
    if (settings.isErr()) {
      log.addNotable("settings.refused", {
        cause,
        reason: settings.error.message,
      });
      return;
    }
    store.setAddress(settings.value.storeAddress);
    log.addNotable("settings.reloaded", { cause });
  };
  process.on("SIGHUP", () => reload("SIGHUP"));
  setInterval(() => reload("file changed"), SETTINGS_POLL_MS).unref();
}

/** Runs the entry until SIGTERM or SIGINT. */
export async function runPlatformEntry(
  options: PlatformEntryOptions,
): Promise<void> {
  const settings = platform.readSettings(process.env);
  if (settings.isErr()) {
    return report(settings.error.message, EXIT_BAD_SETTINGS);
  }
  const metrics = parseMetrics(options.metrics);
  if (metrics.isErr()) return report(metrics.error.message, EXIT_BAD_SETTINGS);
  const clock = new kernel.SystemClock();
  const incarnation = `${Date.now().toString(36)}-${process.pid}`;
  const log = new router.DecisionLog(clock, {
    vm: settings.value.router.vmName,
    incarnation,
  }, new router.DescriptorSink());
  const store = new platform.PlatformStore(settings.value.storeAddress);
  process.on("uncaughtException", (thrown) => {
    log.addNotable("process.fault", {
      reason: kernel.describeThrown(thrown),
    });
  });
  process.on("unhandledRejection", (thrown) => {
    log.addNotable("process.fault", {
      reason: kernel.describeThrown(thrown),
    });
  });
  watchSettings(store, log);
  const platformRouter = new router.Router({
    settings: settings.value.router,
    controlPlane: store,
    codec: new platform.PlatformCodec(),
    clock,
    log,
    random: Math.random,
    ...(metrics.value === undefined ? {} : { metrics: metrics.value }),
  });
  const stop = (signal: NodeJS.Signals) => {
    platformRouter.stop(signal).then(
      () => process.exit(0),
      (thrown) => {
        report(kernel.describeThrown(thrown), EXIT_FAILURE);
        process.exit(EXIT_FAILURE);
      },
    );
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  try {
    await platformRouter.start();
  } catch (thrown) {
    report(kernel.describeThrown(thrown), EXIT_FAILURE);
    process.exit(EXIT_FAILURE);
  }
}
