package org.toucanrack.standin.platform;

/**
 * Settings of the platform stand-in.
 *
 * @param writesPerSecond rate limit of commits and object writes; 0 for no limit
 * @param readsPerSecond rate limit of reads; 0 for no limit
 * @param vmLagMillis delay until readers see changes of the VM list
 * @param measurementsLagMillis delay until readers see new measurements
 */
public record PlatformSettings(
    double writesPerSecond, double readsPerSecond, long vmLagMillis, long measurementsLagMillis) {}
