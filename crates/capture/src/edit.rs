//! Captures made of others: a part of one, or one in which what names people and operations is hidden.

use crate::format::{self, Unreadable};
use crate::reader::Part;
use crate::record::{Head, Record, Round};
use crate::recorder::{Limits, Recorder};
use std::collections::BTreeMap;

/// The part of a capture from the last state at or before `from` to the first block that ends at or after `to`, on the
/// module's clock, as a capture of its own. Blocks go over as they are. `None` if no state stands before the part.
///
/// # Errors
/// The bytes are no capture.
pub fn cut(bytes: &[u8], from: f64, to: f64) -> Result<Option<Vec<u8>>, Unreadable> {
    let mut blocks = Vec::new();
    for part in crate::reader::parts(bytes)? {
        if let Part::Block { offset, head, .. } = part {
            blocks.push((offset, format::BLOCK_HEAD + head.packed as usize, head));
        }
    }
    let begins = blocks.iter().rposition(|(_, _, head)| head.snapshot && head.from <= from);
    // What the capture begins with will do where all of it is later.
    let Some(first) = begins.or_else(|| blocks.iter().position(|(_, _, head)| head.snapshot)) else {
        return Ok(None);
    };
    let last =
        blocks[first..].iter().position(|(_, _, head)| head.to >= to).map_or(blocks.len(), |n| first + n + 1);
    let mut out = format::file_head().to_vec();
    for (offset, length, _) in &blocks[first..last] {
        out.extend(&bytes[*offset..offset + length]);
    }
    Ok(Some(out))
}

/// A capture of one state and the rounds after it.
///
/// # Errors
/// None that rounds can cause; what the library reports is passed on.
pub fn make(head: &Head, state: Vec<u8>, rounds: &[Round]) -> Result<Vec<u8>, Unreadable> {
    let limits = Limits { block_bytes: usize::MAX, snapshot_every: f64::INFINITY };
    let mut recorder = Recorder::new(head.clone(), limits);
    recorder.snapshot(rounds.first().map_or(0.0, |first| first.now), state)?;
    let mut out = format::file_head().to_vec();
    for round in rounds {
        out.extend(recorder.round(round)?.unwrap_or_default());
    }
    out.extend(recorder.flush()?.unwrap_or_default());
    Ok(out)
}

/// A capture in which what the peers call requests is replaced, the same name by the same word throughout. What decisions
/// rest on stays, so that it replays as the original does.
///
/// # Errors
/// The bytes are no capture, or a block cannot be written again.
pub fn redact(bytes: &[u8]) -> Result<Vec<u8>, Unreadable> {
    let mut names: BTreeMap<String, String> = BTreeMap::new();
    let mut out = format::file_head().to_vec();
    for part in crate::reader::parts(bytes)? {
        let Part::Block { head, records, .. } = part else { continue };
        let mut payload = Vec::new();
        for mut record in records {
            if let Record::Round(round) = &mut record {
                for (_, name) in &mut round.names {
                    let word = format!("r{}", names.len() + 1);
                    *name = names.entry(std::mem::take(name)).or_insert(word).clone();
                }
            }
            format::put_record(&mut payload, &record)?;
        }
        format::put_block(&mut out, head, &payload)?;
    }
    Ok(out)
}

#[cfg(test)]
mod tests;
