//! `rockpick bench tenants`: what 100,000 tenants' entries cost, and what a lookup does beside a plain hash map.
use crate::bench::memory;
use crate::Bad2;
use clap::Args;
use rockpick_ldap::message::{Attribute, Entry};
use rockpick_ldap::ContentUpdate;
use rockpick_tenant::{Directory, EntryMapping, Identity};
use std::collections::HashMap;
use std::hint::black_box;
use std::process::ExitCode;
use std::time::Instant;

#[derive(Args)]
pub struct Tenants {
    #[arg(long, default_value_t = 100_000)]
    tenants: usize,
    /// Principals of each.
    #[arg(long, default_value_t = 1)]
    principals: usize,
}

/// Resident memory now, bytes.
fn held() -> f64 {
    memory(std::process::id(), "VmRSS")
}

fn entry(n: usize, dn: String, attributes: &[(&str, String)]) -> ContentUpdate {
    let attribute = |(kind, value): &(&str, String)| Attribute {
        kind: kind.as_bytes().to_vec().into(),
        values: vec![value.as_bytes().to_vec().into()].into(),
    };
    let entry = Entry { dn: dn.into_bytes().into(), attributes: attributes.iter().map(attribute).collect() };
    ContentUpdate::Entry { uuid: (n as u128 + 1).to_be_bytes(), entry }
}

fn principal(n: usize, who: usize, firm: usize) -> ContentUpdate {
    let name = format!("user-{who}");
    let attributes = [("objectClass", "person".to_string()), ("uid", name.clone())];
    entry(n, format!("uid={name},o=firm-{firm},dc=x"), &attributes)
}

impl Tenants {
    pub fn run(self) -> Result<ExitCode, Bad2> {
        let many = self.tenants * (1 + self.principals);
        if self.tenants == 0 || many > rockpick_tenant::model::MAX_ENTRIES {
            return Err(Bad2("--tenants: 1 or more; a million entries in all at most".into()));
        }
        let before = held();
        let mut directory = Directory::new(EntryMapping::default());
        let began = Instant::now();
        directory.apply(0, ContentUpdate::RefreshStarted);
        for n in 0..self.tenants {
            let attributes = [("objectClass", "organization".to_string()), ("o", format!("firm-{n}"))];
            directory.apply(0, entry(n, format!("o=firm-{n},dc=x"), &attributes));
            for p in 0..self.principals {
                let who = n * self.principals + p;
                directory.apply(0, principal(self.tenants + who, who, n));
            }
        }
        let read = began.elapsed().as_secs_f64();
        let began = Instant::now();
        directory.apply(0, ContentUpdate::RefreshCompleted { complete: true });
        let linked = began.elapsed().as_secs_f64();
        println!("{many} entries: read in {read:.2} s, a version made in {linked:.2} s, {:.0} MiB, {:.0} bytes an entry",
            (held() - before) / 1_048_576.0, (held() - before) / many as f64);
        // One principal comes: the next version shares all else with the former.
        let (kept, rounds) = (directory.version().clone(), 200);
        let began = Instant::now();
        for i in 0..rounds {
            directory.apply(1, principal(many + i, many + i, i % self.tenants));
        }
        println!(
            "one principal more: {:.0} us; the former version is still there with {} tenants",
            began.elapsed().as_secs_f64() * 1e6 / rounds as f64,
            kept.len()
        );
        let names: Vec<Identity> = (0..self.tenants * self.principals)
            .map(|w| Identity::Principal(format!("user-{w}").into()))
            .collect();
        let plain: HashMap<Identity, u32> = names.iter().cloned().zip(0..).collect();
        let version = directory.version().clone();
        let order: Vec<usize> =
            (0..1_000_000).map(|i: usize| i.wrapping_mul(7_919) % names.len().max(1)).collect();
        let time = |look: &dyn Fn(&Identity) -> Option<u32>| {
            let began = Instant::now();
            for i in &order {
                black_box(look(&names[*i]));
            }
            order.len() as f64 / began.elapsed().as_secs_f64()
        };
        if !names.is_empty() {
            let ours = time(&|who| version.tenant_of(who));
            let theirs = time(&|who| plain.get(who).copied());
            println!(
                "lookups a second: {ours:.0}; of a plain hash map {theirs:.0}, {:.2} times as many",
                theirs / ours
            );
        }
        Ok(ExitCode::SUCCESS)
    }
}
