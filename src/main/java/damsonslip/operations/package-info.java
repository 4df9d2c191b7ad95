/**
 * What operators may do to a running scheduler and ask of it, put once: the console and the second address both decode
 * their own words and call {@code Operations}. It runs on the loop, so that one answer shows one moment.
 */
package damsonslip.operations;
