package org.magnoliavane.systemtest.measure;

import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

/** Tests the fits behind the slopes on the capacity page. */
public class LeastSquaresTest {
    @Test
    public void findsTheCoefficientsOfExactObservations() {
        double[] fit = LeastSquares.fit(
                List.of(new double[] {1, 10, 5}, new double[] {1, 20, 7}, new double[] {1, 20, 90}, new double[] {
                    2, 1, 1
                }),
                List.of(1 + 20.0 + 15, 1 + 40.0 + 21, 1 + 40.0 + 270, 2 + 2.0 + 3));
        assertEquals(fit[0], 1, 1e-9);
        assertEquals(fit[1], 2, 1e-9);
        assertEquals(fit[2], 3, 1e-9);
    }

    @Test
    public void balancesErrorsOfRepeatedObservations() {
        double[] fit = LeastSquares.fit(List.of(new double[] {2}, new double[] {2}), List.of(3.0, 5.0));
        assertEquals(fit[0], 2, 1e-9);
    }

    @Test
    public void rejectsObservationsThatDoNotDetermineASlope() {
        assertThrows(
                IllegalArgumentException.class,
                () -> LeastSquares.fit(List.of(new double[] {1, 2}, new double[] {2, 4}), List.of(1.0, 2.0)));
    }
}
