use super::*;

#[test]
fn clients_wait_for_the_allowance_and_no_longer_than_their_class_allows() {
    let mut deferrals = Deferrals::default();
    deferrals.push(1, DeferralClass::Faulty, 0.0);
    deferrals.push(2, DeferralClass::Regular, 10.0);
    deferrals.push(3, DeferralClass::Regular, 20.0);
    assert_eq!((deferrals.pop(209.0, false), deferrals.next_due()), (None, Some(210.0)));
    assert_eq!((deferrals.pop(210.0, false), deferrals.pop(210.0, false)), (Some(2), None));
    assert_eq!((deferrals.pop(211.0, true), deferrals.pop(211.0, true)), (Some(3), Some(1)));
    assert_eq!((deferrals.pop(9_999.0, true), deferrals.next_due()), (None, None));
}
