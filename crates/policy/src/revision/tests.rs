use quickcheck::quickcheck;

use super::CurrentValue;
use super::OfferOutcome;
use super::Stamp;

fn parse(text: &str) -> Result<String, String> {
    match text.starts_with('!') {
        true => Err("invalid".to_owned()),
        false => Ok(text.to_owned()),
    }
}

#[test]
fn an_invalid_value_leaves_the_old_one_in_force() {
    let mut in_force = CurrentValue::default();
    assert_eq!(in_force.offer(4, "four", parse), OfferOutcome::Adopted);
    assert_eq!(in_force.offer(5, "!five", parse), OfferOutcome::Invalid("invalid".to_owned()));
    assert_eq!(in_force.value().as_deref(), Some(&"four".to_owned()));
    assert!(!in_force.wants(Stamp::new(5, "!five")));
    assert_eq!(in_force.offer(3, "three", parse), OfferOutcome::Older);
    assert_eq!(in_force.offer(6, "six", parse), OfferOutcome::Adopted);
}

#[test]
fn an_invalid_value_does_not_hide_an_older_valid_one() {
    let mut in_force = CurrentValue::default();
    in_force.offer(1, "one", parse);
    in_force.offer(3, "!three", parse);
    assert!(in_force.wants(Stamp::new(2, "two")));
    assert!(!in_force.wants(Stamp::new(3, "!three")));
}

quickcheck! {
    fn any_order_of_offers_ends_alike_and_never_reverts(offers: Vec<(u8, u8)>, turn: usize) -> bool {
        let text = |n: u8| if n.is_multiple_of(5) { format!("!{n}") } else { n.to_string() };
        let mut one = CurrentValue::default();
        let mut other = CurrentValue::default();
        let mut last = Stamp::default();
        for &(revision, n) in &offers {
            one.offer(u32::from(revision % 8), &text(n), parse);
            if one.stamp() < last {
                return false;
            }
            last = one.stamp();
        }
        let turn = turn % (offers.len() + 1);
        for &(revision, n) in offers[turn..].iter().chain(&offers[..turn]) {
            other.offer(u32::from(revision % 8), &text(n), parse);
        }
        one.stamp() == other.stamp()
    }
}
