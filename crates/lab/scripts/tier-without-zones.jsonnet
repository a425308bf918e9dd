// Like deploy/tier.jsonnet, but without zone evidence and pulling of facts, and with a larger burst: a
// control of the scale test.
{
  on: true,
  period_ms: 1250,
  fan: 4,
  burst: 12,
  refill: 4,
  silent: 2,
}
