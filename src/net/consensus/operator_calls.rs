//! Operators' calls on the versions of the runtime configuration, and their results.

use std::collections::BTreeSet;

use sedgestack::Micros;
use sedgestack_consensus::{Digest, PreviousDocument, ProposeError, ReplicaId, Slot, MAX_DOCUMENT_BYTES};
use sedgestack_runtime_config::{differences, Document};
use serde::Serialize;
use serde_json::{json, Value};
use tokio::sync::oneshot;

use super::actor::ConsensusActor;
use crate::info;

/// Reason why a call failed, with the status and text of its HTTP response.
#[derive(Debug, thiserror::Error)]
#[error("{message}")]
pub struct CallError {
    pub status: u16,
    pub message: String,
}

impl CallError {
    /// The call is malformed, or asks for a change that is not possible in service.
    fn bad_request(message: impl ToString) -> CallError {
        CallError { status: 400, message: message.to_string() }
    }

    fn not_found(message: impl ToString) -> CallError {
        CallError { status: 404, message: message.to_string() }
    }

    /// The call conflicts with the current versions.
    fn conflict(message: impl ToString) -> CallError {
        CallError { status: 409, message: message.to_string() }
    }

    fn too_large(message: impl ToString) -> CallError {
        CallError { status: 413, message: message.to_string() }
    }

    /// The document is well-formed, but changing to it is not allowed.
    fn unacceptable(message: impl ToString) -> CallError {
        CallError { status: 422, message: message.to_string() }
    }
}

/// Result of a call.
pub type CallResult = Result<Value, CallError>;

/// Calls of operators.
pub enum OperatorCall {
    Status,
    /// Checks a document and keeps it for a commit.
    Stage {
        text: String,
    },
    /// Proposes the change to a staged document, named by the start of its digest.
    Commit {
        digest: String,
        /// Requires an answer from all replicas except `except`, instead of a majority.
        require_all: bool,
        except: BTreeSet<ReplicaId>,
        /// Allows the change although the active version is pinned.
        force: bool,
    },
    /// Proposes the change back to the latest document before the active one that had other values.
    Undo {
        force: bool,
    },
    /// Proposes a version with the same values and without canary analysis. If it is pinned, further changes need
    /// `force`.
    Hold {
        pinned: bool,
    },
    /// Proposes a version with the same values that is not pinned.
    Unpin,
    /// Continues from the remaining state after a majority has lost its own.
    Adopt,
}

/// A call and the channel for its result.
pub type OperatorRequest = (OperatorCall, oneshot::Sender<CallResult>);

/// Outcome of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ProposalOutcome {
    /// Its version is not decided yet.
    Open,
    /// Its document was decided.
    Made,
    /// Its version was voided, or was decided with another document.
    Void,
}

/// The latest change that was proposed here.
#[derive(Debug)]
pub struct Proposal {
    pub version: Slot,
    pub digest: Digest,
    pub outcome: ProposalOutcome,
    /// The replicas that had to answer and did not.
    pub unanswered: Vec<ReplicaId>,
}

impl ConsensusActor {
    pub(super) fn on_operator_call(&mut self, call: OperatorCall) -> CallResult {
        match call {
            OperatorCall::Status => Ok(self.status()),
            OperatorCall::Stage { text } => self.stage(&text),
            OperatorCall::Commit { digest, require_all, except, force } => {
                self.check_not_pinned(force)?;
                self.commit(&digest, require_all, &except)
            }
            OperatorCall::Hold { pinned } => self.hold(pinned),
            OperatorCall::Unpin => self.unpin(),
            OperatorCall::Undo { force } => {
                self.check_not_pinned(force)?;
                self.undo()
            }
            OperatorCall::Adopt => self.adopt(),
        }
    }

    /// Rejects a change of a pinned version unless it is forced.
    fn check_not_pinned(&self, force: bool) -> Result<(), CallError> {
        if force || !self.served_document.provenance.pinned {
            return Ok(());
        }
        let (version, _) = self.replica.active_version();
        Err(CallError::conflict(format!("version {version} is pinned: unpin it first, or force the change")))
    }

    fn stage(&mut self, text: &str) -> CallResult {
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(CallError::too_large(format!(
                "the document has {} bytes; at most {MAX_DOCUMENT_BYTES} are allowed",
                text.len()
            )));
        }
        let document = Document::parse("document", text).map_err(CallError::bad_request)?;
        self.configured.check_supported(&document).map_err(CallError::bad_request)?;
        let parent = self.check_parent(&document)?;
        let errors = document.check("document", &self.served_document);
        if !errors.is_empty() {
            let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
            return Err(CallError::unacceptable(lines.join("\n")));
        }
        let changes = differences(&self.served_document, &document);
        let digest = document.digest();
        self.staged.insert(digest, document);
        Ok(json!({"digest": digest.to_string(), "parent": parent, "changes": changes}))
    }

    /// Returns the active version if the document is based on it.
    fn check_parent(&self, document: &Document) -> Result<Slot, CallError> {
        let ((version, _), parent) = (self.replica.active_version(), document.provenance.parent);
        if parent == version {
            return Ok(version);
        }
        Err(CallError::conflict(format!(
            "the document is based on version {parent}, but version {version} is active"
        )))
    }

    fn commit(&mut self, digest: &str, require_all: bool, except: &BTreeSet<ReplicaId>) -> CallResult {
        let document = self.staged_document(digest)?;
        let others = (0..self.replicas).filter(|replica| *replica != self.own);
        let required = others.filter(|replica| require_all && !except.contains(replica)).collect();
        // Another version may have become active since the document was staged.
        self.check_parent(&document)?;
        self.propose(document, required)
    }

    fn staged_document(&self, digest: &str) -> Result<Document, CallError> {
        let matches = self.staged.iter().filter(|(staged, _)| staged.to_string().starts_with(digest));
        let matches: Vec<&Document> = matches.map(|(_, document)| document).collect();
        match matches[..] {
            [document] => Ok(document.clone()),
            _ => {
                let count = matches.len();
                Err(CallError::not_found(format!(
                    "{count} staged documents have a digest that begins with {digest}"
                )))
            }
        }
    }

    /// Proposes a version with the same values and without canary analysis. It is decided like any other version, so it
    /// ends the analysis of the active one at all limiters or at none.
    fn hold(&mut self, pinned: bool) -> CallResult {
        let (version, _) = self.replica.active_version();
        let text = self.served_document.text_of_held_version(version, pinned);
        let document = Document::parse("held", &text).map_err(CallError::conflict)?;
        self.propose(document, BTreeSet::new())
    }

    fn unpin(&mut self) -> CallResult {
        if !self.served_document.provenance.pinned {
            return Err(CallError::conflict("the active version is not pinned"));
        }
        self.hold(false)
    }

    fn undo(&mut self) -> CallResult {
        match self.replica.previous_document() {
            PreviousDocument::Digest(digest) => self.propose_undo(digest),
            PreviousDocument::None => Err(CallError::conflict("there is no version before the active one")),
            PreviousDocument::Missed => Err(CallError::conflict(
                "this limiter missed versions and has not learned yet what was active before: call undo again, or at \
                 another limiter",
            )),
        }
    }

    /// Proposes the change back to the document before the active version.
    pub(super) fn propose_undo(&mut self, digest: Digest) -> CallResult {
        let (now, (parent, _)) = (self.now(), self.replica.active_version());
        let proposed = self.replica.propose_undo(now, digest, parent);
        self.on_proposed(now, proposed, digest)
    }

    fn adopt(&mut self) -> CallResult {
        if !self.replica.awaits_adoption() {
            return Err(CallError::conflict(
                "no adoption is needed: this limiter knows its votes, or has heard a majority",
            ));
        }
        self.replica.adopt();
        info!("tier: an operator requested to continue from the remaining state");
        Ok(self.status())
    }

    /// Proposes a document as the next version. The proposal is abandoned if a replica of `required` does not answer.
    fn propose(&mut self, document: Document, required: BTreeSet<ReplicaId>) -> CallResult {
        let (now, (parent, _)) = (self.now(), self.replica.active_version());
        let digest = document.digest();
        let proposed = self.replica.propose_requiring(now, document.text.into_bytes(), parent, required);
        self.on_proposed(now, proposed, digest)
    }

    /// Records a proposal that was made at `now`, if it was started, and returns its version.
    fn on_proposed(
        &mut self,
        now: Micros,
        proposed: Result<Slot, ProposeError>,
        digest: Digest,
    ) -> CallResult {
        let version = proposed.map_err(CallError::conflict)?;
        self.staged.remove(&digest);
        let outcome = ProposalOutcome::Open;
        self.proposal = Some(Proposal { version, digest, outcome, unanswered: Vec::new() });
        info!("tier: version {version} is proposed here");
        Ok(
            json!({"version": version, "digest": digest.to_string(), "at_us": now + self.settings.activation_delay}),
        )
    }
}
