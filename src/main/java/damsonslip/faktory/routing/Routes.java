package damsonslip.faktory.routing;

import damsonslip.faktory.jobs.Glob;
import java.util.List;

/**
 * The operator's table from queues and jobtypes to classes. The first route that fits decides; what
 * fits none belongs to the default class, if there is one.
 *
 * @param routes in the operator's order
 * @param defaultClass the class of all else, or -1 for none
 * @param classNames the classes' names, by index
 */
public record Routes(List<Route> routes, int defaultClass, List<String> classNames) {
    /** Jobs whose queue and jobtype both fit belong to this class. */
    public record Route(Glob queue, Glob jobtype, int jobClass) {}

    /**
     * The index of a job's class; -1 if it has none. A class that the job itself names comes before
     * the table.
     */
    public int classOf(String named, String queue, String jobtype) {
        if (!named.isEmpty()) {
            return classNames.indexOf(named);
        }
        for (Route route : routes) {
            if (route.queue().matches(queue) && route.jobtype().matches(jobtype)) {
                return route.jobClass();
            }
        }
        return defaultClass;
    }
}
