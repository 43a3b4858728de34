//! Classifies an upstream's answer by what it means for the call.

use crate::platform::answer::AnswerHeaders;

/// What an answer means for the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerClass {
    /// The upstream's final answer, which is passed on to the caller.
    Final,
    /// The upstream states that it did not run the call.
    NotExecuted,
    /// The call reached another upstream than intended, which did not run it.
    Misdirected,
    /// The upstream answered with a server error. It may have run the call.
    Failed,
    /// The answer belongs to another call, does not come from an upstream, or was
    /// changed on its way. The upstream may have run the call.
    Foreign,
}

/// Classifies an answer by its status and headers.
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
