//! How a running quantile follows a stream of samples.

use seamhatch_core::running_quantile::RunningQuantile;
use std::ops::Range;

struct StreamCase {
    name: &'static str,
    share: f64,
    /// Samples, repeated.
    samples: &'static [u64],
    estimate: Range<u64>,
}

#[test]
fn the_estimate_converges_to_the_quantile() {
    let cases = [
        StreamCase { name: "equal samples", share: 0.5, samples: &[100], estimate: 100..101 },
        StreamCase { name: "median", share: 0.5, samples: &[100, 200, 300, 400, 500], estimate: 250..350 },
        StreamCase {
            name: "one far off",
            share: 0.5,
            samples: &[100, 100, 9000, 100, 100],
            estimate: 90..110,
        },
        StreamCase {
            name: "nine in ten",
            share: 0.9,
            samples: &[100, 200, 300, 400, 500],
            estimate: 450..550,
        },
        StreamCase {
            name: "nine in ten, with one in five far off",
            share: 0.9,
            samples: &[100, 100, 9000, 100, 100],
            estimate: 7000..9001,
        },
    ];
    for case in cases {
        let mut quantile = RunningQuantile::of(case.share, 1000);
        case.samples.iter().cycle().take(1000).for_each(|sample| quantile.observe(*sample));
        assert!(case.estimate.contains(&quantile.value()), "{}: {}", case.name, quantile.value());
    }
}
