/** Tests that processes which are cut off from the control plane do not confirm each other. */
import * as ava from "ava";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as ages from "./view_age.ts";

const test = ava.default;

test("cut-off processes whose reports are read late do not keep each other's views young", (t) => {
  const clock = new kernel.ManualClock(10_000);
  const views = [new ages.ViewAge(clock), new ages.ViewAge(clock)];
  for (const view of views) view.confirm(decisions.readClocks(clock));
  // Each report is read 600 ms after it was sent, longer than is assumed for delivery.
  for (let round = 0; round < 10; round += 1) {
    const sent = views.map((view) => view.directAgeMs);
    clock.advance(600);
    views[0]?.confirmFromPeer(sent[1] as number);
    views[1]?.confirmFromPeer(sent[0] as number);
  }
  for (const view of views) {
    // At most the delay of one report is missing, not that of all of them.
    t.true(view.ageMs >= 6_000 - 600, `${view.ageMs}`);
    t.is(view.directAgeMs, 6_000);
  }
});

test("a confirmation by a peer lowers the age, but not the age that is told to peers", (t) => {
  const clock = new kernel.ManualClock(10_000);
  const view = new ages.ViewAge(clock);
  view.confirm(decisions.readClocks(clock));
  clock.advance(3_000);
  view.confirmFromPeer(100);
  t.is(view.ageMs, 400);
  t.is(view.directAgeMs, 3_000);
});
