//! Serializes the decision state, so that decisions can continue or be replayed from any moment.

use crate::Controller;
use std::fmt;

/// The bytes are not a decision state, or that of another version of the module.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotError(String);

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a saved state of the decision module: {}", self.0)
    }
}

impl std::error::Error for SnapshotError {}

impl Controller {
    /// Serializes the whole state between two steps, settings included. The format is derived, so that it has
    /// every field; loading and saving a state again gives the same bytes.
    pub fn save(&self) -> Vec<u8> {
        // Serializing to memory cannot fail here, since the length of every list is known.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Restores a controller from its saved state.
    ///
    /// # Errors
    /// The bytes are too few, too many or malformed, or the settings in them are invalid.
    pub fn load(bytes: &[u8]) -> Result<Controller, SnapshotError> {
        let (loaded, rest) =
            postcard::take_from_bytes::<Controller>(bytes).map_err(|e| SnapshotError(e.to_string()))?;
        if !rest.is_empty() {
            return Err(SnapshotError(format!("{} bytes left over", rest.len())));
        }
        loaded.settings().check().map_err(|e| SnapshotError(e.to_string()))?;
        Ok(loaded)
    }
}
