//! Settings that follow others while requests are open: which place each class and tenant has. Without I/O.

use crate::Names;
use jaspershunt::{Class, Settings};

/// Classes, and tenants, that may have places at once, those included that settings no longer name and of which requests
/// are still open.
pub const MAX_SLOTS: usize = 64;

/// Lays new settings over those in force, so that what is open keeps the place, and with it the deadlines and repeat rules,
/// that it came with. A class that is the same keeps its place. One that is new, or has changed, gets the place of one that
/// nobody names any more and that `free` says nothing is left of, or a place behind all. Tenants are known by name alone.
///
/// # Errors
/// There are more places than there may be, or a class is named twice.
pub fn merge(
    old: &Settings,
    new: Settings,
    names: Names,
    is_free: impl Fn(usize) -> bool,
) -> Result<(Settings, Names), String> {
    let mut merged = Settings { classes: old.classes.clone(), tenants: old.tenants.clone(), ..new };
    // How warm the server is, is known of its interpreter and not of a file.
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
    for (what, count) in [("classes", merged.classes.len()), ("orgs", merged.tenants.len())] {
        if count > MAX_SLOTS {
            return Err(format!(
                "{what} add up to {count} with those still open, and there are {MAX_SLOTS} places"
            ));
        }
    }
    let mut names = names;
    names.classes.iter_mut().zip(slots.into_iter().flatten()).for_each(|(name, slot)| name.1 = slot);
    names.tenants.iter_mut().zip(tenant_slots).for_each(|(name, slot)| name.1 = slot);
    Ok((merged, names))
}

/// Gives a class a place.
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
