//! What a capture holds.

use jaspershunt::{Action, Event, RequestId, Settings};
use serde::{Deserialize, Serialize};

/// One thing in a capture, in the order in which it happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// What the decisions began with. The first record of every block that begins with a snapshot.
    Head(Head),
    /// The decision state between two rounds, as [`jaspershunt::Controller`] saves it.
    Snapshot(Vec<u8>),
    /// One step of the module.
    Round(Round),
    /// Rounds that could not be kept: what made records was faster than what takes them.
    Gap {
        /// How many rounds.
        rounds: u64,
    },
}

/// What a nodo's decisions began with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The program's version.
    pub version: String,
    /// The nodo's name.
    pub nodo: String,
    /// Unix time, in seconds, at which the module's clock shows 0.
    pub epoch: f64,
    /// What the module was told at its start.
    pub settings: Settings,
}

/// One step of the module.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Round {
    /// Its number, from 1 at the nodo's start; a gap shows in it.
    pub number: u64,
    /// The module's clock, in seconds.
    pub now: f64,
    /// What the peers call the requests that arrive in it.
    pub names: Vec<(RequestId, String)>,
    /// What it was told.
    pub events: Vec<Event>,
    /// What it asked for.
    pub actions: Vec<Action>,
}
