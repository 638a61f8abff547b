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
fn an_invalid_value_leaves_the_current_one_unchanged() {
    let mut current = CurrentValue::default();
    assert_eq!(current.offer(4, "four", parse), OfferOutcome::Adopted);
    assert_eq!(current.offer(5, "!five", parse), OfferOutcome::Invalid("invalid".to_owned()));
    assert_eq!(current.value().as_deref(), Some(&"four".to_owned()));
    assert!(!current.wants(Stamp::new(5, "!five")));
    assert_eq!(current.offer(3, "three", parse), OfferOutcome::Older);
    assert_eq!(current.offer(6, "six", parse), OfferOutcome::Adopted);
}

#[test]
fn an_invalid_value_does_not_hide_an_older_valid_one() {
    let mut current = CurrentValue::default();
    current.offer(1, "one", parse);
    current.offer(3, "!three", parse);
    assert!(current.wants(Stamp::new(2, "two")));
    assert!(!current.wants(Stamp::new(3, "!three")));
}

quickcheck! {
    fn offers_in_any_order_agree_and_never_revert(offers: Vec<(u8, u8)>, start: usize) -> bool {
        let text = |n: u8| if n.is_multiple_of(5) { format!("!{n}") } else { n.to_string() };
        let mut in_order = CurrentValue::default();
        let mut rotated = CurrentValue::default();
        let mut last = Stamp::default();
        for &(revision, n) in &offers {
            in_order.offer(u32::from(revision % 8), &text(n), parse);
            if in_order.stamp() < last {
                return false;
            }
            last = in_order.stamp();
        }
        let start = start % (offers.len() + 1);
        for &(revision, n) in offers[start..].iter().chain(&offers[..start]) {
            rotated.offer(u32::from(revision % 8), &text(n), parse);
        }
        in_order.stamp() == rotated.stamp()
    }
}
