//! What a capture holds.

use jaspershunt::{Action, Event, RequestId, Settings};
use jaspershunt_dependencies::{Dependencies, journal::Step as DependencyStep};
use jaspershunt_keys::{KeyTable, journal::Step as KeyStep};
use serde::{Deserialize, Serialize};

/// One thing in a capture, in the order in which it happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// What the decisions began with. The first record of every block that begins with a snapshot.
    Header(Header),
    /// The decision state between two rounds, as [`jaspershunt::Controller`] saves it.
    Snapshot(Vec<u8>),
    /// One step of the module.
    Round(Round),
    /// The state beside the module's, at the moment of the snapshot before it.
    AuxiliaryStates(AuxiliaryStates),
    /// What was asked of the table of keys and of the decisions on dependencies, around the rounds before.
    AuxiliarySteps(AuxiliarySteps),
    /// Rounds that could not be kept: what made records was faster than what takes them.
    Gap {
        /// How many rounds.
        rounds: u64,
    },
}

/// What a nodo's decisions began with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The program's version.
    pub version: String,
    /// The nodo's name.
    pub nodo: String,
    /// Unix time, in seconds, at which the module's clock shows 0.
    pub epoch: f64,
    /// What the module was told at its start.
    pub settings: Settings,
}

/// The state beside the module's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuxiliaryStates {
    /// The table of keys, in postcard: results by their lengths.
    pub keys: Vec<u8>,
    /// The decisions on dependencies, in CBOR since they hold their configuration: bodies by their prints. Empty where the
    /// operator's file names none.
    pub dependencies: Vec<u8>,
}

impl AuxiliaryStates {
    /// The states as bytes; `dependencies` has no bodies in it.
    pub fn of(keys: &KeyTable, dependencies: Option<&Dependencies>) -> AuxiliaryStates {
        let mut bytes = Vec::new();
        if let Some(dependencies) = dependencies {
            // Writing into memory fails for nothing that the state holds.
            let _ = ciborium::into_writer(dependencies, &mut bytes);
        }
        AuxiliaryStates { keys: postcard::to_stdvec(keys).unwrap_or_default(), dependencies: bytes }
    }

    /// The states again; `None` for one that is not there or not understood.
    pub fn load(&self) -> (Option<KeyTable>, Option<Dependencies>) {
        (postcard::from_bytes(&self.keys).ok(), ciborium::from_reader(&self.dependencies[..]).ok())
    }
}

/// What was asked beside the module.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AuxiliarySteps {
    /// Of the table of keys.
    pub keys: Vec<KeyStep>,
    /// Of the decisions on dependencies.
    pub dependencies: Vec<DependencyStep>,
}

impl AuxiliarySteps {
    /// The record of it, as it stands in a block.
    pub fn encode(self) -> Vec<u8> {
        // Writing into memory fails for nothing that a step holds.
        postcard::to_stdvec(&Record::AuxiliarySteps(self)).unwrap_or_default()
    }
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
