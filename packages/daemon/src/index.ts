/** The exports of the daemon package for other packages of this project. */
export {settingRows, getVariableName, type SettingName} from './settings.js';
