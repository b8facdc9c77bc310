//! `rockpick bench tenants`: time and memory for the directory entries of 100,000 tenants, and the speed of lookups
//! compared with a plain hash map.
use crate::bench::memory;
use crate::CliError;
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
    /// Principals per tenant.
    #[arg(long, default_value_t = 1)]
    principals: usize,
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
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

fn principal(n: usize, user: usize, tenant: usize) -> ContentUpdate {
    let name = format!("user-{user}");
    let attributes = [("objectClass", "person".to_string()), ("uid", name.clone())];
    entry(n, format!("uid={name},o=firm-{tenant},dc=x"), &attributes)
}

impl Tenants {
    pub fn run(self) -> Result<ExitCode, CliError> {
        let entries = self.tenants * (1 + self.principals);
        if self.tenants == 0 || entries > rockpick_tenant::model::MAX_ENTRIES {
            return Err(CliError(
                "--tenants: must be 1 or more, with a million entries of tenants and principals at most"
                    .into(),
            ));
        }
        let before = resident_bytes();
        let mut directory = Directory::new(EntryMapping::default());
        let began = Instant::now();
        directory.apply(0, ContentUpdate::RefreshStarted);
        for n in 0..self.tenants {
            let attributes = [("objectClass", "organization".to_string()), ("o", format!("firm-{n}"))];
            directory.apply(0, entry(n, format!("o=firm-{n},dc=x"), &attributes));
            for p in 0..self.principals {
                let user = n * self.principals + p;
                directory.apply(0, principal(self.tenants + user, user, n));
            }
        }
        let read_time = began.elapsed().as_secs_f64();
        let began = Instant::now();
        directory.apply(0, ContentUpdate::RefreshCompleted { complete: true });
        let build_time = began.elapsed().as_secs_f64();
        println!("{entries} entries: read in {read_time:.2} s, version built in {build_time:.2} s, {:.0} MiB, {:.0} bytes per entry",
            (resident_bytes() - before) / 1_048_576.0, (resident_bytes() - before) / entries as f64);
        // Adds one principal at a time; each version shares all other entries with the one before.
        let (former, rounds) = (directory.version().clone(), 200);
        let began = Instant::now();
        for i in 0..rounds {
            directory.apply(1, principal(entries + i, entries + i, i % self.tenants));
        }
        println!(
            "adding one principal: {:.0} us; the former version still holds {} tenants",
            began.elapsed().as_secs_f64() * 1e6 / rounds as f64,
            former.len()
        );
        let names: Vec<Identity> = (0..self.tenants * self.principals)
            .map(|user| Identity::Principal(format!("user-{user}").into()))
            .collect();
        let plain: HashMap<Identity, u32> = names.iter().cloned().zip(0..).collect();
        let version = directory.version().clone();
        let order: Vec<usize> =
            (0..1_000_000).map(|i: usize| i.wrapping_mul(7_919) % names.len().max(1)).collect();
        let lookups_per_second = |look_up: &dyn Fn(&Identity) -> Option<u32>| {
            let began = Instant::now();
            for i in &order {
                black_box(look_up(&names[*i]));
            }
            order.len() as f64 / began.elapsed().as_secs_f64()
        };
        if !names.is_empty() {
            let ours = lookups_per_second(&|who| version.tenant_of(who));
            let map = lookups_per_second(&|who| plain.get(who).copied());
            println!(
                "lookups per second: {ours:.0}; of a plain hash map {map:.0}, {:.2} times as many",
                map / ours
            );
        }
        Ok(ExitCode::SUCCESS)
    }
}
