use super::*;

fn place(region: &str, share: u16, delay_ms: Option<u16>) -> Place {
    Place { region: region.into(), share, delay_ms }
}

fn tables() -> Tables {
    let places = vec![place("este", 980, Some(12)), place("norte", 20, Some(9)), place("sur", 0, None)];
    let row = Row { places, why: Why::Nearer, moved_ms: 5, before: Some("sur".into()) };
    Tables { epoch: 4, rows: BTreeMap::from([(Group::named("10.3.0.0/16"), row)]) }
}

#[test]
fn the_narrowest_wider_row_applies_to_a_group() {
    let shares = tables().shares(&Group::named("10.3.7.0/24"));
    assert_eq!(shares, [("este".into(), 980), ("norte".into(), 20)]);
    assert!(tables().shares(&Group::named("10.4.7.0/24")).is_empty());
}

#[test]
fn regions_are_preferred_by_share_then_delay_then_unknown() {
    let group = Group::named("10.3.0.0/16");
    assert_eq!(tables().preferred_regions(&group, &BTreeSet::new()), ["este", "norte", "sur"]);
    let allowed = ["sur", "oeste", "norte"].map(String::from).into();
    assert_eq!(tables().preferred_regions(&group, &allowed), ["norte", "oeste", "sur"]);
    assert_eq!(tables().preferred_regions(&Group::named("balancer:1"), &allowed), ["norte", "oeste", "sur"]);
}

#[test]
fn explain_gives_the_reason_of_a_row() {
    assert_eq!(
        tables().explain(&Group::named("10.3.7.0/24")),
        "10.3.7.0/24 (by its wider group 10.3.0.0/16): 98.0 % in este (12 ms), 2.0 % in norte (9 ms); it moved from sur, which was \
         farther by more than noise; a few requests go to norte, and tell how far it is. Others: sur delay unknown. Nearer by these: \
         norte; it goes there once that is open to it, has room and is warm, the gain is sure and worth a move, and it is its turn. \
         Table 4."
    );
    let says = |why, before: Option<&str>, shares: [u16; 2]| {
        let places = vec![place("este", shares[0], Some(9)), place("sur", shares[1], Some(12))];
        let row = Row { places, why, moved_ms: 5, before: before.map(String::from) };
        let tables = Tables { epoch: 4, rows: BTreeMap::from([(Group::Balancer(1), row)]) };
        tables.explain(&Group::Balancer(1)).split_once("; ").unwrap().1.split_once('.').unwrap().0.to_string()
    };
    assert_eq!(says(Why::Lost, Some("sur"), [1000, 0]), "it moved from sur, which was lost");
    assert_eq!(says(Why::Lost, Some("sur"), [700, 300]), "part of it moved from sur, which was lost");
    // Nothing explores any more.
    assert_eq!(says(Why::Learns, None, [1000, 0]), "that is how it came before there was a table");
}

#[test]
fn a_row_with_a_wrong_sum_of_shares_is_invalid() {
    let mut row = tables().rows.into_values().next().unwrap();
    assert!(row.is_valid());
    row.places[0].share = 981;
    assert!(!row.is_valid());
    row.places = (0..=MAX_REGIONS)
        .map(|i| place(&format!("r{i:02}"), if i == 0 { TOTAL_SHARE } else { 0 }, None))
        .collect();
    assert!(!row.is_valid());
}
