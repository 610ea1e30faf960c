//! The cases, and what they share.

use crate::interpreter::Interpreter;
use crate::nodo::{Place, SETTINGS, free_address};
use crate::{Case, Verdict, http};

mod edit_at_replaced;
mod late_withdrawal;
mod reply_after_break;
mod stalled_successor;
mod window_after_handover;

/// Plays the case of this name.
pub fn play(name: &str, case: &Case) -> Verdict {
    match name {
        "edit-at-replaced" => edit_at_replaced::play(case),
        "late-withdrawal" => late_withdrawal::play(case),
        "window-after-handover" => window_after_handover::play(case),
        "reply-after-break" => reply_after_break::play(case),
        "stalled-successor" => stalled_successor::play(case),
        _ => Verdict::NotRun(format!("no case is named {name}")),
    }
}

/// The addresses of a nodo whose directory and database are stand-ins.
pub fn place(case: &Case) -> Place {
    Place {
        name: "n1".to_string(),
        operator: None,
        root: case.root.clone(),
        folder: case.folder.clone(),
        listen: free_address(),
        lookup: http::directory(),
        db: http::database(),
        settings: SETTINGS.to_string(),
        stop_ms: 3200,
    }
}

/// How often the body ran, at all interpreters.
pub fn runs_of(interpreters: &[&Interpreter], body: &str) -> usize {
    interpreters.iter().flat_map(|one| one.runs()).filter(|run| run.body == body).count()
}
