/** Which replicas' loads are asked for, where some take requests only at a rate. */

/**
 * Chooses at most one candidate with a rate. A request may be refused there, and
 * then needs others whose loads are known.
 */
export function limitRatedCandidates<C>(
  candidates: readonly C[],
  options: {
    readonly choose: (candidates: readonly C[]) => readonly C[];
    readonly hasRate: (candidate: C) => boolean;
  },
): readonly C[] {
  const { choose, hasRate } = options;
  const chosen = choose(candidates);
  const [rated, ...furtherRated] = chosen.filter(hasRate);
  if (rated === undefined || furtherRated.length === 0) return chosen;
  const free = choose(candidates.filter((each) => !hasRate(each)));
  return free.length === 0
    ? chosen
    : [rated, ...free.slice(0, chosen.length - 1)];
}
