use super::*;

/// Seeded runs of the membership tests are reproducible only while the sequence of a seed does not change.
#[test]
fn the_sequence_of_a_seed_is_fixed() {
    let mut random = Random::new(42);
    assert_eq!([random.next(), random.next()], [3_253_590_718_305_872_930, 17_027_642_986_654_698_066]);
}
