package damsonslip.tools.lab;

import damsonslip.config.ConfigurationException;
import java.math.BigDecimal;
import java.math.MathContext;
import java.util.Locale;

/**
 * One measured point: one line of the CSV file.
 *
 * @param measure what was measured
 * @param axis dimension that was varied
 * @param size size of that dimension
 * @param value value in the unit of the measure
 * @param basis how the value was obtained
 */
record Sample(Measure measure, Axis axis, long size, double value, Basis basis) {
    static final String HEADER = "role,measure,unit,axis,size,value,basis";
    private static final MathContext SIX_DIGITS = new MathContext(6);

    /**
     * Rounds the value as its CSV line does, so that the tables of a run and of its file are
     * identical.
     */
    Sample {
        value = new BigDecimal(value).round(SIX_DIGITS).doubleValue();
    }

    /** Dimension of the fleet that a run varies. */
    enum Axis {
        WORKERS,
        SCHEDULERS,
        TEAMS,
        ZONES
    }

    /**
     * How a value was obtained: measured values vary with the machine, counted values are
     * determined by the seed, and estimated values are calculated from other figures.
     */
    enum Basis {
        MEASURED,
        COUNTED,
        ESTIMATED
    }

    String line() {
        return String.join(
                ",",
                quoted(measure.role),
                quoted(measure.label),
                measure.unit,
                axis.name().toLowerCase(Locale.ROOT),
                Long.toString(size),
                number(value),
                basis.name().toLowerCase(Locale.ROOT));
    }

    static Sample parse(String line) throws ConfigurationException {
        String[] cells = line.split(",(?=(?:[^\"]*\"[^\"]*\")*[^\"]*$)", 0);
        if (cells.length != 7) {
            throw new ConfigurationException("lab: not a line of samples: " + line);
        }
        try {
            return new Sample(
                    Measure.byLabel(unquoted(cells[0]), unquoted(cells[1])),
                    Axis.valueOf(cells[3].toUpperCase(Locale.ROOT)),
                    Long.parseLong(cells[4]),
                    Double.parseDouble(cells[5]),
                    Basis.valueOf(cells[6].toUpperCase(Locale.ROOT)));
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("lab: not a line of samples: " + line);
        }
    }

    /** Formats a value with six significant digits and without an exponent. */
    static String number(double value) {
        return new BigDecimal(value).round(SIX_DIGITS).stripTrailingZeros().toPlainString();
    }

    private static String quoted(String text) {
        return text.contains(",") ? '"' + text + '"' : text;
    }

    private static String unquoted(String cell) {
        return cell.replace("\"", "");
    }
}
