use super::*;

#[test]
fn peers_up_to_the_last_bit_are_members_and_none_beyond_it() {
    let mut peers: PeerSet = [0, MAX_PEERS - 1, MAX_PEERS].into_iter().collect();
    assert_eq!(peers.iter().collect::<Vec<usize>>(), [0, MAX_PEERS - 1]);
    assert!(peers.len() == 2 && !peers.contains(MAX_PEERS));
    peers.remove(MAX_PEERS);
    peers.remove(0);
    assert_eq!(peers, [MAX_PEERS - 1].into_iter().collect());
    peers.remove(MAX_PEERS - 1);
    assert!(peers.is_empty());
}

#[test]
fn sets_intersect_where_they_share_a_peer() {
    let set = |peers: &[usize]| -> PeerSet { peers.iter().copied().collect() };
    assert!(set(&[1, 2]).intersects(set(&[2, 3])) && !set(&[1, 2]).intersects(set(&[3])));
}
