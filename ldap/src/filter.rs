//! Search filters in text form (RFC 4515): a parser with limits, and escaping of values so that a principal's name
//! cannot change a filter.
use crate::message::Filter;
use rasn_ldap::{AttributeValueAssertion, SubstringChoice, SubstringFilter};

/// Maximum nesting and length in bytes: more than operators' filters need.
const MAX_DEPTH: usize = 16;
const MAX_LENGTH: usize = 16 * 1024;

/// Parses a filter such as `(&(objectClass=tenant)(!(off=TRUE)))`.
///
/// # Errors
/// The syntax error and its place.
///
/// ```
/// use rockpick_ldap::filter::{escape, parse};
/// assert!(parse("(&(a=1)(|(b=*)(c=x*y))(!(d>=2)))").is_ok());
/// assert!(parse("(a=1").is_err() && parse("(a=1)(b=2)").is_err());
/// // A principal that contains filter syntax is only a value.
/// assert!(parse(&format!("(uid={})", escape(b"*)(uid=*"))).is_ok());
/// ```
pub fn parse(text: &str) -> Result<Filter, String> {
    if text.len() > MAX_LENGTH {
        return Err("longer than 16 KiB".into());
    }
    let mut rest = text.trim();
    let filter = parse_filter(&mut rest, 0)?;
    if rest.is_empty() {
        Ok(filter)
    } else {
        Err(format!("'{}' after the end of the filter", excerpt(rest)))
    }
}

fn excerpt(text: &str) -> String {
    text.chars().take(20).collect()
}

fn parse_filter(rest: &mut &str, depth: usize) -> Result<Filter, String> {
    if depth > MAX_DEPTH {
        return Err("nested too deeply".into());
    }
    *rest = rest.strip_prefix('(').ok_or_else(|| format!("expected '(' at '{}'", excerpt(rest)))?;
    let kind = rest.chars().next();
    let filter = match kind {
        Some('&' | '|') => {
            *rest = &rest[1..];
            let mut parts = Vec::new();
            while rest.starts_with('(') {
                parts.push(parse_filter(rest, depth + 1)?);
            }
            if kind == Some('&') {
                Filter::And(parts.into())
            } else {
                Filter::Or(parts.into())
            }
        }
        Some('!') => {
            *rest = &rest[1..];
            Filter::Not(Box::new(parse_filter(rest, depth + 1)?))
        }
        _ => {
            let end = rest.find(')').ok_or("missing ')'")?;
            let item = &rest[..end];
            *rest = &rest[end..];
            parse_item(item)?
        }
    };
    *rest = rest.strip_prefix(')').ok_or_else(|| format!("expected ')' at '{}'", excerpt(rest)))?;
    Ok(filter)
}

fn parse_item(item: &str) -> Result<Filter, String> {
    let (left, value) = item.split_once('=').ok_or_else(|| format!("expected '=' in '{}'", excerpt(item)))?;
    let (name, sign) = match left.char_indices().last() {
        Some((at, sign @ ('>' | '<' | '~'))) => (&left[..at], sign),
        _ => (left, '='),
    };
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b';');
    if name.is_empty() || !name.bytes().all(allowed) {
        return Err(format!("'{}' is not an attribute", excerpt(left)));
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
            out.push(byte.ok_or_else(|| format!("'\\' without two hex digits in '{}'", excerpt(text)))?);
            rest = &rest[2..];
        } else {
            out.push(b);
        }
    }
    Ok(out)
}

/// Escapes a value for a filter's text.
pub fn escape(value: &[u8]) -> String {
    let allowed =
        |b: u8| b.is_ascii_alphanumeric() || matches!(b, b' ' | b'-' | b'_' | b'.' | b'@' | b',' | b'=');
    value
        .iter()
        .map(|b| if allowed(*b) { char::from(*b).to_string() } else { format!("\\{b:02x}") })
        .collect()
}

/// Whether an entry matches; `values` returns the values of an attribute. Comparison ignores case, as for directory
/// strings, and ordering is bytewise, which suits timestamps.
pub fn matches(filter: &Filter, values: &dyn Fn(&str) -> Vec<Vec<u8>>) -> bool {
    let lowercase = |v: &[u8]| v.to_ascii_lowercase();
    let any = |a: &AttributeValueAssertion, test: &dyn Fn(&[u8], &[u8]) -> bool| {
        let expected = lowercase(a.assertion_value.as_ref());
        values(&a.attribute_desc.0).iter().any(|v| test(&lowercase(v), &expected))
    };
    match filter {
        Filter::And(parts) => parts.to_vec().into_iter().all(|p| matches(p, values)),
        Filter::Or(parts) => parts.to_vec().into_iter().any(|p| matches(p, values)),
        Filter::Not(part) => !matches(part, values),
        Filter::EqualityMatch(a) | Filter::ApproxMatch(a) => any(a, &|v, w| v == w),
        Filter::GreaterOrEqual(a) => any(a, &|v, w| v >= w),
        Filter::LessOrEqual(a) => any(a, &|v, w| v <= w),
        Filter::Present(name) => !values(&name.0).is_empty(),
        Filter::Substrings(s) => {
            values(&s.r#type.0).iter().any(|v| matches_substrings(&lowercase(v), &s.substrings))
        }
        _ => false,
    }
}

fn matches_substrings(value: &[u8], parts: &[SubstringChoice]) -> bool {
    let mut rest = value;
    for part in parts {
        let (expected, kind) = match part {
            SubstringChoice::Initial(w) => (w, 0),
            SubstringChoice::Any(w) => (w, 1),
            SubstringChoice::Final(w) => (w, 2),
            _ => return false,
        };
        let expected = expected.as_ref().to_ascii_lowercase();
        let at = match kind {
            0 => rest.starts_with(&expected).then_some(0),
            1 => rest.windows(expected.len().max(1)).position(|w| w == expected),
            _ => rest.ends_with(&expected).then(|| rest.len() - expected.len()),
        };
        let Some(at) = at else { return false };
        rest = &rest[at + expected.len()..];
    }
    true
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn filters_match_and_reject() {
        let values = |name: &str| -> Vec<Vec<u8>> {
            match name.to_ascii_lowercase().as_str() {
                "cn" => vec![b"Acme Ltd".to_vec(), b"a*b".to_vec()],
                "stamp" => vec![b"20261201120000Z".to_vec()],
                _ => Vec::new(),
            }
        };
        let matches = |text: &str| matches(&parse(text).unwrap(), &values);
        for matching in [
            "(cn=acme ltd)",
            "(CN=ac*l*d)",
            "(cn=a\\2ab)",
            "(stamp>=20261201)",
            "(&(cn=*)(!(sn=*)))",
            "(|(x=1)(cn=*me*))",
        ] {
            assert!(matches(matching), "{matching}");
        }
        for other in ["(cn=acme)", "(cn=*lt)", "(stamp<=2026)", "(&(cn=*)(sn=*))", "(cn=a\\28b)"] {
            assert!(!matches(other), "{other}");
        }
        for invalid in ["", "cn=a", "(cn)", "(=a)", "(c n=a)", "(cn=a\\2)", "((cn=a))", "(cn=a))"] {
            assert!(parse(invalid).is_err(), "{invalid}");
        }
        assert!(parse(&format!("{}(a=1){}", "(!".repeat(100), ")".repeat(100))).is_err());
    }

    #[test]
    fn escaped_values_cannot_change_a_filter() {
        for value in ["*", "a)(uid=*", "\\", "\u{0}x", "(&"] {
            let text = format!("(uid={})", escape(value.as_bytes()));
            let Filter::EqualityMatch(a) = parse(&text).unwrap() else { panic!("{text}") };
            assert_eq!(a.assertion_value.as_ref(), value.as_bytes());
        }
    }
}
