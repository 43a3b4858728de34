use std::time::Duration;

use crate::policy::liveness::{StreamPhase, probe_delay, stall_timeout};

/// Longest pause between two events that callers of streams allow.
const ALLOWED_PAUSE: Duration = Duration::from_millis(700);
/// Pause of a stream while its healthy engine prefills another prompt.
const PREFILL_PAUSE: Duration = Duration::from_millis(205);
/// Time that a probe and the resume at another engine take.
const PROBE_AND_RESUME: Duration = Duration::from_millis(300);

#[test]
fn a_decoding_stream_is_probed_after_a_prefill_pause_and_in_time_for_its_caller() {
    let delay = probe_delay(StreamPhase::Decode, false);

    assert!(delay > PREFILL_PAUSE);
    assert!(delay + PROBE_AND_RESUME < ALLOWED_PAUSE);
}

#[test]
fn a_stream_in_prefill_is_probed_later_than_one_in_decode() {
    let prefill = probe_delay(StreamPhase::Prefill, false);

    assert!(prefill > probe_delay(StreamPhase::Decode, false));
    // Callers of streams wait up to 4.5 s for the first event.
    assert!(stall_timeout(StreamPhase::Prefill) > Duration::from_millis(4_500));
}

#[test]
fn a_suspected_outage_shortens_the_probe_delay_of_every_stream() {
    for phase in [StreamPhase::Prefill, StreamPhase::Decode] {
        assert!(probe_delay(phase, true) < probe_delay(phase, false));
    }
}
