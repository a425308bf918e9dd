// Settings for the exchange of observations between the routers of a tier; passed to a router with --tier.
// docs/operate/tier.md describes each key.
{
  on: true,
  // A key of at least 8 bytes, the same for all routers. Without one, datagrams from any machine of the
  // network are accepted.
  // key: 'change me, please',
  period_ms: 1250,
  fan: 4,
  burst: 8,
  refill: 4,
  silent: 2,
  // Routers of older versions drop datagrams with zone evidence: false until all routers know this key.
  zone_evidence: true,
  // The same applies as for zone_evidence.
  pull_facts: true,
}
