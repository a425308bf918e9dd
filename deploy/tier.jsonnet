// What routers of a tier tell one another; given to a router with --tier. docs/operate/tier.md says what each key is for.
{
  on: true,
  // A key of at least 8 bytes, the same at all routers: without one any machine of the network is believed.
  // key: 'change me, please',
  period_ms: 1250,
  fan: 4,
  burst: 8,
  refill: 4,
  silent: 2,
  // Routers of older versions drop datagrams that carry it: false until all of the tier know the key.
  zone_evidence: true,
  // As for zone_evidence.
  pull_facts: true,
}
