use super::*;

/// The published test vector of SplitMix64.
#[test]
fn a_seed_gives_the_published_sequence() {
    let mut generator = SplitMix::new(1_234_567);
    let sequence = [(); 3].map(|()| generator.next_u64());
    assert_eq!(sequence, [6_457_827_717_110_365_317, 3_203_168_211_198_807_973, 9_817_491_932_198_370_423]);
}

#[test]
fn a_mixed_number_is_the_first_output_of_its_seed() {
    for seed in [0, 1, 1_234_567, u64::MAX] {
        assert_eq!(mix(seed), SplitMix::new(seed).next_u64());
    }
    assert_eq!(mix(1_234_567), 6_457_827_717_110_365_317);
}

#[test]
fn the_finalizer_maps_zero_to_zero_and_an_advanced_state_to_an_output() {
    assert_eq!(finalize(0), 0);
    assert_eq!(finalize(1_234_567 + GOLDEN_GAMMA), 6_457_827_717_110_365_317);
}
