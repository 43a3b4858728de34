//! Classifies an upstream's answer by what it means for the call.

use crate::platform::answer::{AnswerHeaders, AnswerOwner};

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

/// Classifies an answer by its status and headers. `is_first` says that it is the first
/// answer on its connection, which can't be one to an earlier call.
///
/// A refusal promises that the call has not run, so it must be the refusal of this call.
pub(crate) fn classify(answer: &AnswerHeaders, is_first: bool) -> AnswerClass {
    let may_refuse = match answer.owner {
        AnswerOwner::ThisCall => true,
        AnswerOwner::Unnamed => is_first,
        AnswerOwner::AnotherCall => false,
    };
    if may_refuse && answer.is_misdirected {
        return AnswerClass::Misdirected;
    }
    if may_refuse && answer.is_not_executed {
        return AnswerClass::NotExecuted;
    }
    let is_of_call = answer.owner == AnswerOwner::ThisCall;
    let is_success = answer.status.is_success();
    if !is_of_call || answer.is_encoded || (is_success && !answer.is_signed) {
        return AnswerClass::Foreign;
    }
    if answer.status.is_server_error() {
        return AnswerClass::Failed;
    }
    AnswerClass::Final
}
