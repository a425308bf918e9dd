// As deploy/tier.jsonnet, but without judging zones and without pulling: the control of the scale test.
{
  on: true,
  period_ms: 1250,
  fan: 4,
  burst: 12,
  refill: 4,
  silent: 2,
}
