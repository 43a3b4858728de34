//! What a node tells its peers.

use std::sync::Arc;

use crate::document::DocumentStore;
use crate::membership::Membership;
use crate::message::{Question, ReplyBody};
use crate::peer::PeerHandler;

/// Answers other entry nodes.
pub(crate) struct EdgePeerApi {
    pub(crate) membership: Membership,
    pub(crate) documents: Arc<DocumentStore>,
}

impl PeerHandler for EdgePeerApi {
    async fn answer(&self, question: Question) -> Option<ReplyBody> {
        match question {
            Question::Sync(question) => {
                Some(ReplyBody::Sync(self.membership.sync_reply(&question)))
            }
            Question::Fetch(wanted) => Some(ReplyBody::Document(self.documents.reply(&wanted))),
            _ => None,
        }
    }
}
