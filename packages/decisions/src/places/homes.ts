/**
 * In which data centres a request may run, by the home regions of its route and
 * of its account. The failure that is named here is a home that nothing can
 * satisfy: the request is then permitted nowhere, not everywhere.
 */

/**
 * Data centres whose region is in every list that is not empty. Undefined if all
 * lists are empty: then the request may run anywhere.
 */
export function findHomeDataCentres(
  homeRegionLists: readonly (readonly string[])[],
  regionByDataCentre: ReadonlyMap<string, string>,
): ReadonlySet<string> | undefined {
  const binding = homeRegionLists.filter((regions) => regions.length > 0);
  if (binding.length === 0) return undefined;
  const homes = [...regionByDataCentre].filter(([, region]) =>
    binding.every((regions) => regions.includes(region))
  );
  return new Set(homes.map(([dataCentre]) => dataCentre));
}

/** Regions among the homes that no data centre of the installation is in. */
export function findUnknownRegions(
  homeRegions: readonly string[],
  regionByDataCentre: ReadonlyMap<string, string>,
): readonly string[] {
  const known = new Set(regionByDataCentre.values());
  return homeRegions.filter((region) => !known.has(region));
}
