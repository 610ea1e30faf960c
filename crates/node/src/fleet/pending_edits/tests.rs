//! Tests of the pending edits.

use super::*;
use tokio::runtime::Builder;

fn edit(number: u64) -> Edit {
    let text = format!(
        r#"{{"id": {{"team": "pagos", "number": {number}}}, "base": 0, "reason": "a place",
            "changes": [{{"add": {{"thing": "region/norte"}}}}]}}"#
    );
    parse_edit(&text).unwrap()
}

async fn opened(folder: &Path) -> PendingEdits {
    let (held, turn) = PendingEdits::new(folder);
    held.read_back(turn).await;
    held
}

#[test]
fn kept_edits_are_read_back_by_the_next_process_until_they_are_removed() {
    let folder = std::env::temp_dir().join(format!("jaspershunt-held-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let runtime = Builder::new_current_thread().build().unwrap();
    runtime.block_on(async {
        let held = opened(&folder).await;
        assert_eq!(held.first(), None);
        for number in 1..=MAX_PENDING_EDITS as u64 {
            held.keep(edit(number)).await.unwrap();
        }
        assert!(held.keep(edit(65)).await.unwrap_err().to_string().contains("MAX_HELD"));
        // What a process killed during a write leaves, and an unrelated file.
        std::fs::write(folder.join(FOLDER).join("pagos-99-0.json.new"), "{").unwrap();
        std::fs::remove_file(folder.join(FOLDER).join(name(&edit(64).key()))).unwrap();
        std::fs::write(folder.join(FOLDER).join("a.json"), "{").unwrap();
        let later = opened(&folder).await;
        assert_eq!(later.edits.borrow().len(), MAX_PENDING_EDITS - 1);
        assert_eq!(later.first(), Some((edit(1).key(), edit(1))));
        later.remove(&edit(1).key()).await;
        later.refuse(&edit(2).key(), "no room".into()).await;
        assert_eq!(later.shown().1, [json!({"edit": "pagos/2", "why": "no room"})]);
        assert_eq!(opened(&folder).await.first().unwrap().0, edit(3).key());
    });
    std::fs::remove_dir_all(&folder).unwrap();
}

// Guards against edits that a replaced process accepted and that no process sends, as the later one had read the
// folder before.
#[test]
fn edits_that_another_process_keeps_or_removes_are_followed() {
    let folder = std::env::temp_dir().join(format!("jaspershunt-followed-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let runtime = Builder::new_current_thread().build().unwrap();
    runtime.block_on(async {
        let (earlier, later) = (opened(&folder).await, opened(&folder).await);
        earlier.keep(edit(1)).await.unwrap();
        earlier.keep(edit(2)).await.unwrap();
        later.refresh_if_free().await;
        assert_eq!(later.first(), Some((edit(1).key(), edit(1))));
        later.remove(&edit(1).key()).await;
        earlier.refresh().await;
        assert_eq!(earlier.first(), Some((edit(2).key(), edit(2))));
        earlier.remove(&edit(2).key()).await;
        later.refresh_if_free().await;
        assert_eq!(later.first(), None);
        // The bound holds for both together.
        for number in 1..=MAX_PENDING_EDITS as u64 {
            if number % 2 == 0 { &earlier } else { &later }.keep(edit(number)).await.unwrap();
        }
        assert!(later.keep(edit(65)).await.unwrap_err().to_string().contains("MAX_HELD"));
        // A folder that is missing or cannot be read leaves what is known.
        std::fs::rename(folder.join(FOLDER), folder.join("moved")).unwrap();
        later.refresh().await;
        assert_eq!(later.edits.borrow().len(), MAX_PENDING_EDITS);
        std::fs::write(folder.join(FOLDER), "").unwrap();
        later.refresh().await;
        assert_eq!(later.edits.borrow().len(), MAX_PENDING_EDITS);
    });
    std::fs::remove_dir_all(&folder).unwrap();
}
