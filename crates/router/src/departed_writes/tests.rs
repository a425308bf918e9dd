use super::*;

#[test]
fn ids_are_kept_for_a_limited_time_and_number() {
    let mut departed = DepartedWrites::default();
    departed.insert(0.0, 1);
    assert!(departed.contains(RETENTION_MS - 1.0, 1) && !departed.contains(RETENTION_MS, 1));
    (0..=MAX_IDS as u64).for_each(|id| departed.insert(RETENTION_MS, id));
    assert!(!departed.contains(RETENTION_MS, 0) && departed.contains(RETENTION_MS, 1));
    assert_eq!((departed.ids.len(), departed.by_age.len()), (MAX_IDS, MAX_IDS));
}
