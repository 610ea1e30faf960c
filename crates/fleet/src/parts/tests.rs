use super::*;

/// Counts its entries and the changes of members, and shows every incarnation the last entry.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Counter {
    name: String,
    entries: u64,
    changes: u64,
    last: Vec<u8>,
}

impl Part for Counter {
    fn name(&self) -> &'static str {
        if self.name == "b" { "b" } else { "a" }
    }

    fn apply(&mut self, _: &Fleet, entry: &[u8]) -> Vec<u8> {
        self.entries += 1;
        self.last = entry.to_vec();
        vec![self.entries as u8]
    }

    fn members_changed(&mut self, fleet: &Fleet) {
        self.changes += fleet.members().count() as u64 + 1;
    }

    fn epoch(&self, _: &Holder) -> u64 {
        self.entries
    }

    fn view_for(&self, _: &Holder) -> Vec<u8> {
        self.last.iter().copied().cycle().take(self.last.len() * 20).collect()
    }

    fn save(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap()
    }

    fn load(&mut self, bytes: &[u8]) -> bool {
        let loaded = postcard::from_bytes(bytes);
        loaded.map(|loaded| *self = loaded).is_ok()
    }

    fn as_any(&self) -> &dyn Any {
        self
    }
}

fn counters(names: &[&str]) -> Vec<Box<dyn Part>> {
    let part = |name: &&str| Counter { name: name.to_string(), ..Counter::default() };
    names.iter().map(|name| Box::new(part(name)) as Box<dyn Part>).collect()
}

fn entry(part: &str, bytes: &[u8]) -> Entry {
    Entry::Part { part: part.into(), bytes: bytes.to_vec() }
}

fn counts_of(state: &ReplicatedState, name: &str) -> (u64, u64) {
    let counters: &Counter = state.part(name).unwrap().as_any().downcast_ref().unwrap();
    (counters.entries, counters.changes)
}

#[test]
fn an_entry_goes_to_its_part_and_a_change_of_members_to_all() {
    let mut state = ReplicatedState::new(counters(&["a", "b"]));
    let holder = Holder::new("n1", 1);
    assert_eq!(state.apply(&Entry::Enrol { holder: holder.clone() }), Outcome::Done);
    assert_eq!((counts_of(&state, "a"), counts_of(&state, "b")), ((0, 2), (0, 2)));
    // Enrolling the same incarnation again changes nothing.
    state.apply(&Entry::Enrol { holder: holder.clone() });
    assert_eq!(state.apply(&entry("b", &[7])), Outcome::Part(vec![1]));
    assert_eq!(state.apply(&entry("c", &[7])), Outcome::Refused(Refusal::NotFound));
    assert_eq!(state.apply(&entry("a", &[0; MAX_PART_ENTRY_BYTES + 1])), Outcome::Refused(Refusal::TooLong));
    assert_eq!(state.apply(&entry("a", &[0; MAX_PART_ENTRY_BYTES])), Outcome::Part(vec![1]));
    // A later incarnation takes over, and the leave of the earlier one no longer counts.
    state.apply(&Entry::Enrol { holder: Holder::new("n1", 2) });
    state.apply(&Entry::Gone { holder });
    assert_eq!((counts_of(&state, "a"), counts_of(&state, "b")), ((1, 4), (1, 4)));
    state.apply(&Entry::Gone { holder: Holder::new("n1", 2) });
    assert_eq!(counts_of(&state, "a"), (1, 5));
}

#[test]
fn a_state_without_parts_is_saved_as_before_and_parts_are_restored() {
    let mut state = ReplicatedState::new(Vec::new());
    state.apply(&Entry::Enrol { holder: Holder::new("n1", 1) });
    assert_eq!(state.save(), state.fleet.save());
    // A part that was not saved is empty.
    let mut with = ReplicatedState::load(&state.save(), counters(&["a", "b"])).unwrap();
    assert_eq!(counts_of(&with, "a"), (0, 0));
    with.apply(&entry("a", &[1]));
    let saved = with.save();
    // A program that knows only one of the parts keeps the other.
    let less = ReplicatedState::load(&saved, counters(&["b"])).unwrap();
    assert_eq!(less.save(), saved);
    let back = ReplicatedState::load(&less.save(), counters(&["a", "b"])).unwrap();
    assert_eq!(
        (counts_of(&back, "a"), back.save_parts(), back.fleet),
        ((1, 0), with.save_parts(), with.fleet.clone())
    );
    for cut in 1..saved.len() {
        let short = ReplicatedState::load(&saved[..cut], counters(&["a", "b"]));
        // The fleet alone is a valid state too.
        assert!(short.is_err() || cut == with.fleet.save().len(), "{cut}");
    }
    assert_eq!(
        ReplicatedState::load(&[saved, vec![0]].concat(), counters(&["a"])).unwrap_err(),
        LoadError::Corrupt
    );
}

/// Guards against a part's saved state being used after entries of it were skipped.
#[test]
fn a_part_with_skipped_entries_is_not_loaded_later() {
    let mut less =
        ReplicatedState::load(&ReplicatedState::new(counters(&["a", "b"])).save(), counters(&["b"])).unwrap();
    less.apply(&entry("a", &[1]));
    let again = ReplicatedState::load(&less.save(), counters(&["b"])).unwrap();
    let unfit = ReplicatedState::load(&again.save(), counters(&["a", "b"])).unwrap_err();
    assert_eq!(unfit, LoadError::Outdated("a".into()));
    // The number of unknown parts is bounded.
    for n in 0..2 * MAX_PARTS {
        less.apply(&entry(&format!("x{n}"), &[1]));
    }
    assert_eq!(less.unknown_parts.len(), MAX_PARTS - 1);
    assert!(ReplicatedState::load(&less.save(), counters(&["b"])).is_ok());
}

#[test]
fn views_that_an_incarnation_lacks_are_sent_within_a_bound() {
    let mut state = ReplicatedState::new(counters(&["a", "b"]));
    let (holder, mut known_epochs) = (Holder::new("n1", 1), BTreeMap::new());
    assert!(!state.has_view_for(&holder) && state.view_for(&holder, &known_epochs).is_empty());
    state.apply(&entry("a", &[1; MAX_PART_ENTRY_BYTES]));
    state.apply(&entry("b", &[2; MAX_PART_ENTRY_BYTES]));
    assert!(state.has_view_for(&holder));
    // Each view is 160 KiB, so the second has to wait.
    let first = state.view_for(&holder, &known_epochs);
    assert_eq!(first.iter().map(|view| (view.name.as_str(), view.epoch)).collect::<Vec<_>>(), [("a", 1)]);
    known_epochs.insert("a".into(), 1);
    let second = state.view_for(&holder, &known_epochs);
    assert_eq!(second.iter().map(|view| view.name.as_str()).collect::<Vec<_>>(), ["b"]);
    known_epochs.insert("b".into(), 1);
    assert!(state.view_for(&holder, &known_epochs).is_empty());
}
