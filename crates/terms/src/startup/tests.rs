use super::*;

/// An invalid roster must not keep a router from starting that exchanges no datagrams with its peers.
#[test]
fn an_invalid_roster_is_named_and_does_not_fail_the_rest() {
    let roster = |me: &str, peers: &str, may_tell: &str| {
        let text = format!(
            r#"{{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"1","peer_listen":"127.0.0.1:2",
            "peers":{peers},"limits":{{"memory_mb":32,"sockets":256}},"settings":{{"balancers":1,{me}
            "tick_s":0.005,"discovery":"automatic","classes":[],"extra":{{"behind":"refuse","read_level":[],
            "staleness_bound_s":[]}},"limits":{{"max_attempts":1,"may_tell":{may_tell}}},
            "rules":{{"drain_grace_s":1,"cold_from":1,"cold_s":1,"fall_multiple":1,"fall_s":1}}}}}}"#
        );
        parse(text.as_bytes()).unwrap().0.roster
    };
    let two = r#"["127.0.0.1:3","127.0.0.1:4"]"#;
    assert_eq!(roster(r#""me":1,"#, two, "true").unwrap().unwrap().local, 1);
    assert_eq!(roster(r#""me":1,"#, two, "false"), Ok(None));
    assert_eq!(roster("", "[]", "true"), Ok(None));
    for (me, peers, key) in
        [("", two, "settings.me"), (r#""me":2,"#, two, "settings.me"), (r#""me":0,"#, r#"["x"]"#, "peers")]
    {
        let error = roster(me, peers, "true").unwrap_err();
        assert!(error.contains(key), "{error}");
    }
}

/// A roster longer than the membership protocol supports is rejected with its length, not truncated.
#[test]
fn an_oversized_roster_is_rejected() {
    let roster_of = |count: usize| {
        let addresses: Vec<String> =
            (0..count).map(|n| format!("10.0.{}.{}:7946", n / 256, n % 256)).collect();
        let text = format!(
            r#"{{"peers":{},"peer_listen":"10.0.0.1:7946",
            "settings":{{"me":1,"limits":{{"may_tell":true}}}}}}"#,
            serde_json::to_string(&addresses).unwrap()
        );
        roster(&serde_json::from_str(&text).unwrap())
    };
    assert_eq!(roster_of(MAX_PEERS).unwrap().unwrap().addrs.len(), MAX_PEERS);
    let error = roster_of(MAX_PEERS + 1).unwrap_err();
    assert!(error.contains("'peers'") && error.contains("8193 routers, at most 8192"), "{error}");
}
