//! The decision state as bytes, so that decisions can go on, or be replayed, from any moment.

use crate::Controller;
use std::fmt;

/// Bytes that are no decision state, or that of another version of the module.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotError(String);

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "this is no state of the module: {}", self.0)
    }
}

impl std::error::Error for SnapshotError {}

impl Controller {
    /// All that the module remembers between two steps, settings included. Every field is in it, since the form is derived;
    /// a state that is loaded and saved again is the same bytes.
    pub fn save(&self) -> Vec<u8> {
        // Writing into memory fails for no value that the module holds: all its lists know their length.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// A module that goes on where the saved one stood.
    ///
    /// # Errors
    /// The bytes are too few, too many, or not understood, or the settings in them make no sense.
    pub fn load(bytes: &[u8]) -> Result<Controller, SnapshotError> {
        let (loaded, rest) =
            postcard::take_from_bytes::<Controller>(bytes).map_err(|e| SnapshotError(e.to_string()))?;
        if !rest.is_empty() {
            return Err(SnapshotError(format!("{} bytes are left over", rest.len())));
        }
        loaded.settings().check().map_err(|e| SnapshotError(e.to_string()))?;
        Ok(loaded)
    }
}
