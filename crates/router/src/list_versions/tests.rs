use super::*;

#[test]
fn lower_versions_are_older_until_they_have_lasted_too_long() {
    let mut versions = ListVersions::default();
    assert!(!versions.is_older(Some(41), 0.0) && !versions.is_older(Some(42), 1_000.0));
    assert!(versions.is_older(Some(41), 2_000.0) && versions.is_older(Some(41), 31_999.0));
    assert!(!versions.is_older(None, 32_000.0));
    assert!(!versions.is_older(Some(3), 32_000.0), "the service counts anew");
    assert!(!versions.is_older(Some(3), 33_000.0) && versions.is_older(Some(2), 34_000.0));
    // One that has caught up starts a new time.
    assert!(!versions.is_older(Some(4), 60_000.0) && versions.is_older(Some(3), 70_000.0));
}
