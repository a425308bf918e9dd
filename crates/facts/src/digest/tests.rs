use super::*;

/// Routers of different versions must compute the same bits for a fact. Otherwise a digest does not match the
/// facts that its router has, and missing facts may be withheld.
#[test]
fn the_bits_of_a_fact_are_fixed() {
    let bits = |salt, group, host, observed_at| -> Vec<usize> {
        bit_indexes(salt, group, host, observed_at).collect()
    };
    assert_eq!(bits(7, 11, 13, 1_000.0), [369, 370]);
    assert_eq!(bits(200, 1, 2, 3.0), [409, 336]);
}
