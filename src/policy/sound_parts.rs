//! The parts of prompts under which upstreams went on lately.
//!
//! A crash is evidence against a bounded number of parts. Those of sound prompts are the
//! least likely cause, so that the others come first, however many parts a prompt has.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::id::Fingerprint;

/// Number of parts in each of two generations, the older of which is forgotten when the
/// younger is full.
const GENERATION_MAX: usize = 4_096;

/// When parts were last in a sound prompt.
type LastSound = BTreeMap<Fingerprint, Instant>;

/// The parts of recent sound prompts.
#[derive(Debug, Default)]
pub(crate) struct SoundParts {
    young: LastSound,
    old: LastSound,
}

impl SoundParts {
    /// Adds the parts of a prompt under which an upstream went on.
    pub(crate) fn add(&mut self, parts: &[Fingerprint], now: Instant) {
        for part in parts {
            if self.young.len() >= GENERATION_MAX {
                self.old = std::mem::take(&mut self.young);
            }
            self.young.insert(*part, now);
        }
    }

    /// Whether a recent sound prompt had the part.
    pub(crate) fn contains(&self, part: Fingerprint) -> bool {
        self.young.contains_key(&part) || self.old.contains_key(&part)
    }

    /// Orders the parts of a prompt under which an upstream crashed, the most suspicious
    /// first: those that no sound prompt had, and then those whose last one is longest ago.
    /// Of two equal ones the later comes first, since prompts differ towards their end.
    pub(crate) fn rank_suspects(&self, mut parts: Vec<Fingerprint>) -> Vec<Fingerprint> {
        parts.reverse();
        parts.sort_by_key(|part| self.young.get(part).or_else(|| self.old.get(part)));
        parts
    }
}
