//! The records of a capture.

use jaspershunt::{Action, Event, RequestId, Settings};
use jaspershunt_dependencies::{Dependencies, journal::Step as DependencyStep};
use jaspershunt_keys::{KeyTable, journal::Step as KeyStep};
use serde::{Deserialize, Serialize};

/// One record of a capture. Records are in the order in which they happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The nodo and its settings. The first record of every block that starts with a snapshot, except for a
    /// gap.
    Header(Header),
    /// The decision state between two rounds, as saved by [`jaspershunt::Controller`].
    Snapshot(Vec<u8>),
    /// One step of the module.
    Round(Round),
    /// The state of the key table and of the dependency decisions at the time of the preceding snapshot.
    AuxiliaryStates(AuxiliaryStates),
    /// Calls of the key table and of the dependency decisions, made around the preceding rounds.
    AuxiliarySteps(AuxiliarySteps),
    /// Rounds that were dropped because records were produced faster than they were consumed.
    Gap {
        /// The number of rounds dropped.
        rounds: u64,
    },
}

/// Identifies the nodo and the settings with which its decisions started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The version of the program.
    pub version: String,
    /// The name of the nodo.
    pub nodo: String,
    /// The Unix time, in seconds, at which the module's clock reads 0.
    pub epoch: f64,
    /// The module's settings at its start.
    pub settings: Settings,
}

/// The state of the components beside the decision module.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuxiliaryStates {
    /// The key table in postcard. Results are recorded by their lengths only.
    pub keys: Vec<u8>,
    /// The dependency decisions in CBOR, since they contain their configuration. Bodies are recorded by their
    /// digests only. Empty if the operator's file names no dependency.
    pub dependencies: Vec<u8>,
}

impl AuxiliaryStates {
    /// Serializes the states. `dependencies` must contain no bodies (see `Dependencies::masked`).
    pub fn of(keys: &KeyTable, dependencies: Option<&Dependencies>) -> AuxiliaryStates {
        let mut bytes = Vec::new();
        if let Some(dependencies) = dependencies {
            // Writing to memory cannot fail for the types in the state.
            let _ = ciborium::into_writer(dependencies, &mut bytes);
        }
        AuxiliaryStates { keys: postcard::to_stdvec(keys).unwrap_or_default(), dependencies: bytes }
    }

    /// Loads both states; `None` for one that is absent or cannot be decoded.
    pub fn load(&self) -> (Option<KeyTable>, Option<Dependencies>) {
        (postcard::from_bytes(&self.keys).ok(), ciborium::from_reader(&self.dependencies[..]).ok())
    }
}

/// Recorded calls of the components beside the decision module.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AuxiliarySteps {
    /// Calls of the key table.
    pub keys: Vec<KeyStep>,
    /// Calls of the dependency decisions.
    pub dependencies: Vec<DependencyStep>,
}

impl AuxiliarySteps {
    /// Encodes the steps as a record, as stored in a block.
    pub fn encode(self) -> Vec<u8> {
        // Writing to memory cannot fail for the types in a step.
        postcard::to_stdvec(&Record::AuxiliarySteps(self)).unwrap_or_default()
    }
}

/// One step of the decision module: the events it received and the actions it returned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Round {
    /// The number of the round, from 1 at the start of the nodo. Dropped rounds leave a gap in the numbers.
    pub number: u64,
    /// The time of the module's clock, in seconds.
    pub now: f64,
    /// The correlation ids of the requests that arrive in this round.
    pub names: Vec<(RequestId, String)>,
    /// The events passed to the module.
    pub events: Vec<Event>,
    /// The actions returned by the module.
    pub actions: Vec<Action>,
}
