use super::*;
use rstest::rstest;

const SIZES: [f64; 4] = [100.0, 300.0, 1_000.0, 2_200.0];

fn points(curve: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    SIZES.iter().map(|size| (*size, curve(*size))).collect()
}

fn near(one: f64, other: f64) -> bool {
    (one - other).abs() <= 1e-6 * other.abs().max(1.0)
}

#[test]
fn an_exact_line_gives_its_slope_and_intercept() {
    let fit = line(&points(|size| 3.0 * size + 40.0)).unwrap();
    assert!(near(fit.slope, 3.0) && near(fit.intercept, 40.0), "{fit:?}");
    assert!(fit.residual < 1e-6 && fit.relative_residual < 1e-6, "{fit:?}");
    assert_eq!(fit.shape, Shape::Line);
    assert!(near(fit.at(5_000.0), 15_040.0));
}

#[test]
fn the_residual_is_the_root_mean_square_and_is_told_against_the_mean() {
    let fit = line(&[(0.0, 9.0), (1.0, 12.0), (2.0, 9.0), (3.0, 12.0)]).unwrap();
    // Slope 0.6, intercept 9.6: differences -0.6, 1.8, -1.8, 0.6.
    assert!(near(fit.slope, 0.6) && near(fit.intercept, 9.6), "{fit:?}");
    assert!(near(fit.residual, 1.8_f64.sqrt()), "{fit:?}");
    assert!(near(fit.relative_residual, 1.8_f64.sqrt() / 10.5), "{fit:?}");
}

#[rstest]
#[case::constant(&|_| 7.0, Shape::Line)]
#[case::nothing(&|_| 0.0, Shape::Line)]
#[case::through_the_origin(&|size| 2.0 * size, Shape::Line)]
#[case::large_constant(&|size| 10_000.0 + size, Shape::Line)]
#[case::falling(&|size| 10_000.0 - size, Shape::Line)]
#[case::power_1_2(&|size: f64| size.powf(1.2), Shape::Faster)]
#[case::square(&|size: f64| size * size, Shape::Faster)]
#[case::square_on_a_constant(&|size: f64| 1e6 + size * size, Shape::Faster)]
#[case::root(&|size: f64| size.sqrt(), Shape::Slower)]
#[case::logarithm(&|size: f64| size.ln() - 4.0, Shape::Slower)]
fn shapes_are_told_apart(#[case] curve: &dyn Fn(f64) -> f64, #[case] shape: Shape) {
    let fit = line(&points(curve)).unwrap();
    assert_eq!(fit.shape, shape, "{fit:?}");
}

#[rstest]
#[case::little_noise(&[1.03, 0.97, 1.02, 0.99], Shape::Line)]
#[case::one_point_off(&[1.0, 1.0, 2.0, 1.0], Shape::Unclear)]
fn noise_is_no_curve(#[case] factors: &[f64; 4], #[case] shape: Shape) {
    let noisy: Vec<(f64, f64)> =
        SIZES.iter().zip(factors).map(|(size, factor)| (*size, size * factor)).collect();
    let fit = line(&noisy).unwrap();
    assert_eq!(fit.shape, shape, "{fit:?}");
}

#[test]
fn a_power_law_is_found_in_logarithms() {
    let law = power_law(&points(|size| 0.5 * size.powf(1.7))).unwrap();
    assert!(near(law.factor, 0.5) && near(law.exponent, 1.7) && law.residual < 1e-3, "{law:?}");
    assert!(near(law.at(10.0), 0.5 * 10.0_f64.powf(1.7)));
    assert_eq!(power_law(&[(1.0, 1.0), (2.0, 0.0)]), None);
}

#[rstest]
#[case::none(&[])]
#[case::one_point(&[(1.0, 2.0)])]
#[case::one_size(&[(1.0, 2.0), (1.0, 3.0)])]
#[case::not_a_number(&[(1.0, f64::NAN), (2.0, 3.0)])]
#[case::infinite(&[(1.0, f64::INFINITY), (2.0, 3.0)])]
fn no_line_without_two_sizes_and_finite_values(#[case] points: &[(f64, f64)]) {
    assert_eq!(line(points), None);
}
