//! Runs of a simulated fleet are repeatable only as long as a seed gives the same random numbers.

use magpiewell_fleet::random::number;

#[test]
fn random_numbers_of_a_seed_are_fixed() {
    assert_eq!(number(5, &[1, 2, 3]), 509_334_991_330_530_573);
    assert_eq!(number(5, &[]), 7_134_611_160_154_358_618);
}
