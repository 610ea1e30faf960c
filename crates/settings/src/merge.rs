//! Merges new settings into those in force while requests are in flight: assigns each class and tenant a
//! slot.

use crate::Names;
use jaspershunt::{Class, Settings};

/// The most slots of classes, and of tenants, including those that the settings no longer name but in-flight
/// requests still use.
pub const MAX_SLOTS: usize = 64;

/// Merges new settings into those in force. In-flight requests keep the slot, and with it the deadlines and
/// repeat rules, that they arrived with. An unchanged class keeps its slot. A new or changed class gets a
/// slot that no class in force uses and that `is_free` confirms, or a new one at the end. Tenants are matched
/// by name alone.
///
/// # Errors
/// There are more than [`MAX_SLOTS`] slots, or a class is named twice.
pub fn merge(
    old: &Settings,
    new: Settings,
    names: Names,
    is_free: impl Fn(usize) -> bool,
) -> Result<(Settings, Names), String> {
    let mut merged = Settings { classes: old.classes.clone(), tenants: old.tenants.clone(), ..new };
    // Whether the server is cold depends on its interpreter, not on the settings file.
    merged.cold = old.cold;
    let mut slots: Vec<Option<usize>> =
        new.classes.iter().map(|class| old.classes.iter().position(|before| before == class)).collect();
    for (n, class) in new.classes.into_iter().enumerate() {
        if names.classes[..n].iter().any(|(name, _)| *name == class.name) {
            return Err(format!("classes[{n}].name is that of another class"));
        }
        if slots[n].is_none() {
            slots[n] = Some(assign_slot(&mut merged.classes, class, &slots, &is_free));
        }
    }
    let mut tenant_slots = Vec::new();
    for tenant in new.tenants {
        let slot = merged.tenants.iter().position(|before| before.name == tenant.name);
        match slot {
            Some(slot) => merged.tenants[slot] = tenant,
            None => merged.tenants.push(tenant),
        }
        tenant_slots.push(slot.unwrap_or(merged.tenants.len() - 1));
    }
    for (list, count) in [("classes", merged.classes.len()), ("orgs", merged.tenants.len())] {
        if count > MAX_SLOTS {
            return Err(format!(
                "there are {count} {list} including those still in use, but only {MAX_SLOTS} places"
            ));
        }
    }
    let mut names = names;
    names.classes.iter_mut().zip(slots.into_iter().flatten()).for_each(|(name, slot)| name.1 = slot);
    names.tenants.iter_mut().zip(tenant_slots).for_each(|(name, slot)| name.1 = slot);
    Ok((merged, names))
}

/// Stores a class in the first free slot, or in a new one, and returns the slot.
fn assign_slot(
    classes: &mut Vec<Class>,
    class: Class,
    taken: &[Option<usize>],
    is_free: impl Fn(usize) -> bool,
) -> usize {
    let unused = |slot: &usize| !taken.contains(&Some(*slot)) && is_free(*slot);
    match (0..classes.len()).find(unused) {
        Some(slot) => {
            classes[slot] = class;
            slot
        }
        None => {
            classes.push(class);
            classes.len() - 1
        }
    }
}

#[cfg(test)]
mod tests;
