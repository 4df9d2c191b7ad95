/**
 * Tests of the platform's frontend: the real program with clients, workers and discovery that the
 * tests simulate. {@code PlatformStage} is their base class.
 */
package damsonslip.platform;
