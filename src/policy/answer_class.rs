//! What an upstream's answer means for a call.

use crate::platform::answer::AnswerHeaders;

/// What an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerClass {
    /// It is the upstream's final word and is passed on.
    Final,
    /// The upstream states that it did not run the call.
    NotExecuted,
    /// The upstream did not run the call, because it is another one.
    Misdirected,
    /// The upstream ran the call and failed.
    Failed,
    /// It belongs to another call, or is no upstream's answer.
    Foreign,
}

/// Classifies an answer by its head.
pub(crate) fn classify(answer: &AnswerHeaders) -> AnswerClass {
    if answer.is_misdirected {
        return AnswerClass::Misdirected;
    }
    if answer.is_not_executed {
        return AnswerClass::NotExecuted;
    }
    let is_success = answer.status.is_success();
    if !answer.matches_call || answer.is_encoded || (is_success && !answer.is_signed) {
        return AnswerClass::Foreign;
    }
    if answer.status.is_server_error() {
        return AnswerClass::Failed;
    }
    AnswerClass::Final
}
