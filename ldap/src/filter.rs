//! Filters as text (RFC 4515): read with bounds, and values escaped so that no principal can change what is
//! asked.
use crate::message::Filter;
use rasn_ldap::{AttributeValueAssertion, SubstringChoice, SubstringFilter};

/// Nesting and length at most: what operators write, and some.
const MAX_DEPTH: usize = 16;
const MAX_TEXT: usize = 16 * 1024;

/// Reads `(&(objectClass=tenant)(!(off=TRUE)))`.
///
/// # Errors
/// Says where it stops making sense.
///
/// ```
/// use rockpick_ldap::filter::{escape, read};
/// assert!(read("(&(a=1)(|(b=*)(c=x*y))(!(d>=2)))").is_ok());
/// assert!(read("(a=1").is_err() && read("(a=1)(b=2)").is_err());
/// // A principal that is a filter stays a value.
/// assert!(read(&format!("(uid={})", escape(b"*)(uid=*"))).is_ok());
/// ```
pub fn read(text: &str) -> Result<Filter, String> {
    if text.len() > MAX_TEXT {
        return Err("longer than 16 KiB".into());
    }
    let mut rest = text.trim();
    let filter = one(&mut rest, 0)?;
    if rest.is_empty() {
        Ok(filter)
    } else {
        Err(format!("'{}' after its end", short(rest)))
    }
}

fn short(text: &str) -> String {
    text.chars().take(20).collect()
}

fn one(rest: &mut &str, depth: usize) -> Result<Filter, String> {
    if depth > MAX_DEPTH {
        return Err("nested too deep".into());
    }
    let inner = rest.strip_prefix('(').ok_or_else(|| format!("'(' is wanted at '{}'", short(rest)))?;
    *rest = inner;
    let kind = rest.chars().next();
    let filter = match kind {
        Some('&' | '|') => {
            *rest = &rest[1..];
            let mut parts = Vec::new();
            while rest.starts_with('(') {
                parts.push(one(rest, depth + 1)?);
            }
            if kind == Some('&') {
                Filter::And(parts.into())
            } else {
                Filter::Or(parts.into())
            }
        }
        Some('!') => {
            *rest = &rest[1..];
            Filter::Not(Box::new(one(rest, depth + 1)?))
        }
        _ => {
            let end = rest.find(')').ok_or("')' is missing")?;
            let item = &rest[..end];
            *rest = &rest[end..];
            leaf(item)?
        }
    };
    *rest = rest.strip_prefix(')').ok_or_else(|| format!("')' is wanted at '{}'", short(rest)))?;
    Ok(filter)
}

fn leaf(item: &str) -> Result<Filter, String> {
    let (left, value) = item.split_once('=').ok_or_else(|| format!("'=' is wanted in '{}'", short(item)))?;
    let (name, sign) = match left.char_indices().last() {
        Some((at, sign @ ('>' | '<' | '~'))) => (&left[..at], sign),
        _ => (left, '='),
    };
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b';');
    if name.is_empty() || !name.bytes().all(plain) {
        return Err(format!("'{}' is no attribute", short(left)));
    }
    let assertion = |v: Vec<u8>| AttributeValueAssertion::new(name.into(), v.into());
    Ok(match sign {
        '>' => Filter::GreaterOrEqual(assertion(unescape(value)?)),
        '<' => Filter::LessOrEqual(assertion(unescape(value)?)),
        '~' => Filter::ApproxMatch(assertion(unescape(value)?)),
        _ if value == "*" => Filter::Present(name.into()),
        _ if value.contains('*') => {
            let parts: Vec<&str> = value.split('*').collect();
            let mut substrings = Vec::new();
            for (i, part) in parts.iter().enumerate().filter(|(_, p)| !p.is_empty()) {
                let value = unescape(part)?.into();
                substrings.push(match i {
                    0 => SubstringChoice::Initial(value),
                    i if i + 1 == parts.len() => SubstringChoice::Final(value),
                    _ => SubstringChoice::Any(value),
                });
            }
            Filter::Substrings(SubstringFilter::new(name.into(), substrings))
        }
        _ => Filter::EqualityMatch(assertion(unescape(value)?)),
    })
}

fn unescape(text: &str) -> Result<Vec<u8>, String> {
    let (mut out, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((&b, tail)) = rest.split_first() {
        rest = tail;
        if b == b'\\' {
            let hex = rest.get(..2).and_then(|h| std::str::from_utf8(h).ok());
            let byte = hex.and_then(|h| u8::from_str_radix(h, 16).ok());
            out.push(byte.ok_or_else(|| format!("'\\' without two hex digits in '{}'", short(text)))?);
            rest = &rest[2..];
        } else {
            out.push(b);
        }
    }
    Ok(out)
}

/// A value as it may stand in a filter's text.
pub fn escape(value: &[u8]) -> String {
    let plain =
        |b: u8| b.is_ascii_alphanumeric() || matches!(b, b' ' | b'-' | b'_' | b'.' | b'@' | b',' | b'=');
    value.iter().map(|b| if plain(*b) { char::from(*b).to_string() } else { format!("\\{b:02x}") }).collect()
}

/// Does an entry fit? `values` gives an attribute's values. Comparison is without case, as directory strings
/// are compared; greater and less by length of digits and text (timestamps, numbers).
pub fn fits(filter: &Filter, values: &dyn Fn(&str) -> Vec<Vec<u8>>) -> bool {
    let low = |v: &[u8]| v.to_ascii_lowercase();
    let any = |a: &AttributeValueAssertion, test: &dyn Fn(&[u8], &[u8]) -> bool| {
        let wanted = low(a.assertion_value.as_ref());
        values(&a.attribute_desc.0).iter().any(|v| test(&low(v), &wanted))
    };
    match filter {
        Filter::And(parts) => parts.to_vec().into_iter().all(|p| fits(p, values)),
        Filter::Or(parts) => parts.to_vec().into_iter().any(|p| fits(p, values)),
        Filter::Not(part) => !fits(part, values),
        Filter::EqualityMatch(a) | Filter::ApproxMatch(a) => any(a, &|v, w| v == w),
        Filter::GreaterOrEqual(a) => any(a, &|v, w| v >= w),
        Filter::LessOrEqual(a) => any(a, &|v, w| v <= w),
        Filter::Present(name) => !values(&name.0).is_empty(),
        Filter::Substrings(s) => values(&s.r#type.0).iter().any(|v| holds(&low(v), &s.substrings)),
        _ => false,
    }
}

fn holds(value: &[u8], parts: &[SubstringChoice]) -> bool {
    let mut rest = value;
    for part in parts {
        let (wanted, kind) = match part {
            SubstringChoice::Initial(w) => (w, 0),
            SubstringChoice::Any(w) => (w, 1),
            SubstringChoice::Final(w) => (w, 2),
            _ => return false,
        };
        let wanted = wanted.as_ref().to_ascii_lowercase();
        let at = match kind {
            0 => rest.starts_with(&wanted).then_some(0),
            1 => rest.windows(wanted.len().max(1)).position(|w| w == wanted),
            _ => rest.ends_with(&wanted).then(|| rest.len() - wanted.len()),
        };
        let Some(at) = at else { return false };
        rest = &rest[at + wanted.len()..];
    }
    true
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn filters_fit_as_they_say() {
        let values = |name: &str| -> Vec<Vec<u8>> {
            match name.to_ascii_lowercase().as_str() {
                "cn" => vec![b"Acme Ltd".to_vec(), b"a*b".to_vec()],
                "stamp" => vec![b"20261201120000Z".to_vec()],
                _ => Vec::new(),
            }
        };
        let fits = |text: &str| fits(&read(text).unwrap(), &values);
        for good in [
            "(cn=acme ltd)",
            "(CN=ac*l*d)",
            "(cn=a\\2ab)",
            "(stamp>=20261201)",
            "(&(cn=*)(!(sn=*)))",
            "(|(x=1)(cn=*me*))",
        ] {
            assert!(fits(good), "{good}");
        }
        for bad in ["(cn=acme)", "(cn=*lt)", "(stamp<=2026)", "(&(cn=*)(sn=*))", "(cn=a\\28b)"] {
            assert!(!fits(bad), "{bad}");
        }
        for wrong in ["", "cn=a", "(cn)", "(=a)", "(c n=a)", "(cn=a\\2)", "((cn=a))", "(cn=a))"] {
            assert!(read(wrong).is_err(), "{wrong}");
        }
        assert!(read(&format!("{}(a=1){}", "(!".repeat(100), ")".repeat(100))).is_err());
    }

    #[test]
    fn no_value_changes_the_question() {
        for value in ["*", "a)(uid=*", "\\", "\u{0}x", "(&"] {
            let text = format!("(uid={})", escape(value.as_bytes()));
            let Filter::EqualityMatch(a) = read(&text).unwrap() else { panic!("{text}") };
            assert_eq!(a.assertion_value.as_ref(), value.as_bytes());
        }
    }
}
