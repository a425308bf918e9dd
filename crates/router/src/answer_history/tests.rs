use super::*;

const ROW: u64 = 1;
const OTHER_ROW: u64 = 2;

fn history(answers: &[(Option<u64>, Option<f64>)]) -> AnswerHistory {
    let mut history = AnswerHistory::default();
    answers.iter().for_each(|(row, took_ms)| history.record(*row, *took_ms));
    history
}

/// Guards against a second copy being served as the answer to the next request.
#[test]
fn the_row_before_that_comes_sooner_than_the_host_answers_is_a_second_copy() {
    let history = history(&[(Some(OTHER_ROW), Some(30.0)), (Some(ROW), Some(22.0))]);
    assert!(history.is_second_copy(ROW, 2.0, false));
    assert!(!history.is_second_copy(OTHER_ROW, 2.0, false), "another row can't be a copy of the latest one");
    assert!(!history.is_second_copy(ROW, 22.0, false), "as late as the answer before");
}

/// Seen from a router that was held up, a copy comes late, but together with the answer that it displaced.
#[test]
fn the_row_before_that_is_followed_by_more_is_a_second_copy() {
    let history = history(&[(Some(ROW), Some(22.0))]);
    assert!(history.is_second_copy(ROW, 150.0, true));
    assert!(!history.is_second_copy(OTHER_ROW, 150.0, true), "an answer with surplus behind it is served");
}

/// Guards against refusing answers of hosts whose rows are all alike.
#[test]
fn equal_rows_are_accepted_where_nothing_shows_how_soon_the_host_answers() {
    assert!(!history(&[]).is_second_copy(ROW, 0.1, false));
    assert!(!history(&[(Some(ROW), None)]).is_second_copy(ROW, 0.1, false));
    let without_a_row = history(&[(Some(ROW), Some(22.0)), (None, Some(0.1))]);
    assert!(!without_a_row.is_second_copy(ROW, 0.1, false), "the latest answer had no row");
}

/// A copy that was taken for an answer would otherwise make the next copies look late enough.
#[test]
fn an_equal_row_shortens_no_answer_time() {
    let history = history(&[(Some(ROW), Some(22.0)), (Some(ROW), Some(0.1))]);
    assert!(history.is_second_copy(ROW, 2.0, false));
}
