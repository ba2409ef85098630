/** The estimated load that filling tasks of one image add to serving tasks of another, per share of the worker's processors. */
export interface ImagePressure {
  readonly servingImage: string
  readonly fillingImage: string
  readonly mean: number
  /** Standard deviation of the estimate. */
  readonly deviation: number
}

/** Pairs of images that are remembered; more than the images of a pool form in an hour. */
export const maximumPairs = 4096

/** The key of a pair of images, joined by a space, which images do not contain. */
export function pairOf ({ servingImage, fillingImage }: Pick<ImagePressure, 'servingImage' | 'fillingImage'>): string {
  return `${servingImage} ${fillingImage}`
}
