/** Decides which version of a service receives each request, and judges new versions. */
package org.waxwingbeam.target.version;
