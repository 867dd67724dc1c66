package org.hornbeamward.bench.capacity;

import java.util.Arrays;

/**
 * Straight line fitted by least squares. Immutable.
 *
 * @param slope growth of y per unit of x
 * @param intercept y at x = 0
 * @param determination coefficient of determination, 1 if all points are on the line
 */
record LineFit(double slope, double intercept, double determination) {

    static LineFit of(double[] x, double[] y) {
        double meanX = Arrays.stream(x).average().orElseThrow();
        double meanY = Arrays.stream(y).average().orElseThrow();
        double sumXx = 0;
        double sumXy = 0;
        double sumYy = 0;
        for (int i = 0; i < x.length; i++) {
            sumXx += (x[i] - meanX) * (x[i] - meanX);
            sumXy += (x[i] - meanX) * (y[i] - meanY);
            sumYy += (y[i] - meanY) * (y[i] - meanY);
        }
        double slope = sumXy / sumXx;
        double determination = sumYy == 0 ? 1 : sumXy * sumXy / (sumXx * sumYy);
        return new LineFit(slope, meanY - slope * meanX, determination);
    }
}
